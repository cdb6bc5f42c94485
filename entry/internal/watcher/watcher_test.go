package watcher_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/watcher"
)

var errPlatformDown = errors.New("platform is down")

// fakePlatform is a fake platform on which each added object has the next version.
type fakePlatform struct {
	mu      sync.Mutex
	objects []control.Object
	down    bool
	lists   int
	watches int
	// returnAtOnce makes watches return at once without objects.
	returnAtOnce bool
	changed      chan struct{}
}

func (p *fakePlatform) update(mutate func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mutate()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) add(name string) {
	p.update(func() {
		p.objects = append(p.objects, control.Object{Name: name, Version: int64(len(p.objects) + 1)})
	})
}

func (p *fakePlatform) List(context.Context, string) ([]control.Object, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, 0, errPlatformDown
	}
	p.lists++
	return p.objects, int64(len(p.objects)), nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ string, after int64) ([]control.Object, int64, error) {
	for {
		p.mu.Lock()
		down, objects, changed, returnAtOnce := p.down, p.objects, p.changed, p.returnAtOnce
		p.watches++
		p.mu.Unlock()
		if returnAtOnce {
			return nil, after, nil
		}
		if down {
			return nil, 0, errPlatformDown
		}
		if int64(len(objects)) > after {
			return objects[after:], int64(len(objects)), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// fakeDirectory is a fake directory that records the version of each object.
type fakeDirectory struct {
	mu       sync.Mutex
	versions map[string]int64
	watching bool
	changed  chan struct{}
}

func (d *fakeDirectory) PutObject(_ time.Time, o control.Object) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions[o.Name] = o.Version
	return true
}

func (d *fakeDirectory) WatchesPlatform() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching
}

func (d *fakeDirectory) Subscribe() (<-chan struct{}, func()) {
	return d.changed, func() {}
}

func (d *fakeDirectory) setWatching(on bool) {
	d.mu.Lock()
	d.watching = on
	d.mu.Unlock()
	d.changed <- struct{}{}
	synctest.Wait()
}

func (d *fakeDirectory) objectCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.versions)
}

// runWatcher runs the test with a watcher in a synctest bubble and stops the watcher at the end.
func runWatcher(t *testing.T, test func(*fakePlatform, *fakeDirectory)) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{changed: make(chan struct{})}
		d := &fakeDirectory{versions: map[string]int64{}, watching: true, changed: make(chan struct{}, 1)}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		w := watcher.New(p, d, &log.Logger{Handler: discard.New()})
		go func() { done <- w.Run(ctx) }()
		test(p, d)
		stop()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}

// Guards against changes that are missed between the list and the watch or during an outage, and against a watcher that
// doesn't continue after an outage.
func TestOutage(t *testing.T) {
	runWatcher(t, func(p *fakePlatform, d *fakeDirectory) {
		p.add("a")
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 1, d.objectCount())
		p.add("b")
		synctest.Wait()
		must.Eq(t, 2, d.objectCount())
		p.update(func() { p.down = true })
		p.add("c")
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(t, 2, d.objectCount())
		p.update(func() { p.down = false })
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 3, d.objectCount())
		must.Eq(t, 2, p.lists)
	})
}

// Guards against a member that keeps its watch open after other members have become the watchers, or that misses
// changes when it becomes one again.
func TestWatcherReassigned(t *testing.T) {
	runWatcher(t, func(p *fakePlatform, d *fakeDirectory) {
		time.Sleep(time.Second)
		synctest.Wait()
		d.setWatching(false)
		p.add("a")
		synctest.Wait()
		must.Eq(t, 0, d.objectCount())
		d.setWatching(true)
		must.Eq(t, 1, d.objectCount())
		must.Eq(t, 2, p.lists)
	})
}

// Guards against every process listing all objects when all are restarted, because none knows the others yet.
func TestStartDelay(t *testing.T) {
	runWatcher(t, func(p *fakePlatform, _ *fakeDirectory) {
		time.Sleep(999 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 0, p.lists)
	})
}

// Guards against watches without a pause between them if the platform answers them at once because it is empty.
func TestEmptyPlatform(t *testing.T) {
	runWatcher(t, func(p *fakePlatform, _ *fakeDirectory) {
		p.update(func() { p.returnAtOnce = true })
		time.Sleep(11 * time.Second)
		synctest.Wait()
		must.Between(t, 10, p.watches, 21)
	})
}
