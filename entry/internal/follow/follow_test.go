package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/follow"
	"bramleystand.org/platform"
)

// silentStore has one object; its watches hear nothing while silent is set.
type silentStore struct {
	mu       sync.Mutex
	revision uint64
	silent   bool
	down     bool
	changed  chan struct{}
	calls    int
}

func (s *silentStore) set(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	if !s.silent {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *silentStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, eris.New("the store is down")
	}
	return []platform.Object{{Name: "main", Revision: s.revision}}, s.revision, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	s.mu.Lock()
	s.calls++
	changed, revision, silent := s.changed, s.revision, s.silent
	s.mu.Unlock()
	if revision > after && !silent {
		return []platform.Event{{Object: platform.Object{Name: "main", Revision: revision}}}, revision, nil
	}
	select {
	case <-changed:
		s.mu.Lock()
		defer s.mu.Unlock()
		return []platform.Event{{Object: platform.Object{Name: "main", Revision: s.revision}}}, s.revision, nil
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// last is a sink that keeps the newest revision.
type last struct {
	mu       sync.Mutex
	revision uint64
	lost     int
}

func (l *last) Reset(_ time.Time, objects []platform.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = objects[0].Revision
}

func (l *last) Apply(_ time.Time, events []platform.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = events[0].Revision
}

func (l *last) Lost(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

func (l *last) get() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

func (l *last) failures() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New()} }

// start runs a follower until the test ends.
func start(t *testing.T, s *silentStore, l *last, watchTimeout time.Duration) *follow.Follower {
	f := follow.New(s, "config", l, func() time.Duration { return watchTimeout }, quiet())
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

// Guards against a change that a silent watch misses: an alert process must have it within two
// seconds, an idle one when it is told.
func TestSilentWatch(t *testing.T) {
	for _, alert := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{revision: 1, changed: make(chan struct{})}
			l := &last{}
			watchTimeout := follow.Idle
			if alert {
				watchTimeout = follow.ShortWait
			}
			f := start(t, s, l, watchTimeout)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.silent = true
			s.mu.Unlock()
			s.set(2)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.silent = false
			s.mu.Unlock()
			if !alert {
				must.Eq(t, 1, l.get())
				f.Check()
			}
			time.Sleep(900 * time.Millisecond)
			must.Eq(t, 2, l.get())
		})
	}
}

// Guards against a missed change that is never read because the follower is told of it between two
// waits, in which nothing can be ended.
func TestCheckBetweenWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{revision: 1, silent: true, changed: make(chan struct{})}
		l := &last{}
		var f *follow.Follower
		waits := 0
		f = follow.New(s, "config", l, func() time.Duration {
			waits++
			if waits == 3 {
				s.set(2)
				f.Check()
			}
			return follow.Idle
		}, quiet())
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.Run(ctx) })
		time.Sleep(10 * time.Second)
		must.Eq(t, 2, l.get())
		cancel()
		group.Wait()
	})
}

// Guards against a process that does not notice the end of an outage, and one that floods the
// store with calls during it.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{revision: 1, down: true, changed: make(chan struct{})}
		l := &last{}
		start(t, s, l, follow.Idle)
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		must.Between(t, 8, s.calls, 30)
		s.down = false
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, l.get())
		must.Greater(t, 0, l.failures())
	})
}
