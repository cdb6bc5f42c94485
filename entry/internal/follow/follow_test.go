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

// fakeStore has one object. While silent is set, its watches deliver no changes.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	silent   bool
	down     bool
	changed  chan struct{}
	calls    int
	// staleCalls counts the stale lists, which return the revision stale.
	staleCalls int
	stale      uint64
}

func (s *fakeStore) setRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	if !s.silent {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeStore) ListStale(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleCalls++
	if s.down {
		return nil, 0, eris.New("the store is down")
	}
	return []platform.Object{{Name: "main", Revision: s.stale}}, s.stale, nil
}

func (s *fakeStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, eris.New("the store is down")
	}
	return []platform.Object{{Name: "main", Revision: s.revision}}, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
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

// revisionSink is a sink that keeps the latest revision and counts outages.
type revisionSink struct {
	mu       sync.Mutex
	revision uint64
	outages  int
}

func (s *revisionSink) Reset(_ time.Time, objects []platform.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = objects[0].Revision
}

func (s *revisionSink) ResetEmpty(now time.Time, objects []platform.Object) {
	if s.currentRevision() == 0 {
		s.Reset(now, objects)
	}
}

func (s *revisionSink) Apply(_ time.Time, events []platform.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = events[0].Revision
}

func (s *revisionSink) RecordOutage(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
}

func (s *revisionSink) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *revisionSink) outageCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outages
}

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New()} }

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, s *fakeStore, sink *revisionSink, watchTimeout time.Duration) *follow.Follower {
	f := follow.New(s, "config", sink, func() time.Duration { return watchTimeout }, discardLogger())
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return f
}

// Guards against hundreds of processes that each pay for whole lists although another one forwards all changes,
// and against one that relies on an old list when none does.
func TestStartWithStaleList(t *testing.T) {
	for _, forwarded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{revision: 7, stale: 5, changed: make(chan struct{})}
			sink := &revisionSink{}
			begin := time.Now()
			f := follow.New(s, "config", sink, func() time.Duration {
				if forwarded && time.Since(begin) > 300*time.Millisecond {
					return follow.NoWatch
				}
				return follow.ShortWatchTimeout
			}, discardLogger())
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { f.Run(ctx) })
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, 5, sink.currentRevision())
			time.Sleep(2 * time.Second)
			must.Eq(t, 1, s.staleCalls)
			if forwarded {
				must.Eq(t, 0, s.calls)
				f.Relist()
				time.Sleep(time.Millisecond)
			}
			must.Eq(t, 7, sink.currentRevision())
			cancel()
			group.Wait()
		})
	}
}

// Guards against a change that is never read because a watch delivers nothing: a process that watches must
// have it within two seconds, an idle one when Relist is called.
func TestSilentWatch(t *testing.T) {
	for _, watching := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{revision: 1, stale: 1, changed: make(chan struct{})}
			sink := &revisionSink{}
			watchTimeout := follow.NoWatch
			if watching {
				watchTimeout = follow.ShortWatchTimeout
			}
			f := startFollower(t, s, sink, watchTimeout)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.silent = true
			s.mu.Unlock()
			s.setRevision(2)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.silent = false
			s.mu.Unlock()
			if !watching {
				must.Eq(t, 1, sink.currentRevision())
				f.Relist()
			}
			time.Sleep(900 * time.Millisecond)
			must.Eq(t, 2, sink.currentRevision())
		})
	}
}

// Guards against a missed change that is never read because Relist is called between two waits, when there
// is nothing to cancel.
func TestRelistBetweenWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{revision: 1, silent: true, changed: make(chan struct{})}
		sink := &revisionSink{}
		var f *follow.Follower
		waits := 0
		f = follow.New(s, "config", sink, func() time.Duration {
			waits++
			if waits == 3 {
				s.setRevision(2)
				f.Relist()
			}
			return follow.NoWatch
		}, discardLogger())
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { f.Run(ctx) })
		time.Sleep(10 * time.Second)
		must.Eq(t, 2, sink.currentRevision())
		cancel()
		group.Wait()
	})
}

// Guards against a process that does not notice the end of an outage of the store, and one that makes too
// many calls during the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{revision: 1, down: true, changed: make(chan struct{})}
		sink := &revisionSink{}
		startFollower(t, s, sink, follow.NoWatch)
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		must.Between(t, 8, s.calls, 30)
		s.down = false
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, sink.currentRevision())
		must.Greater(t, 0, sink.outageCount())
	})
}
