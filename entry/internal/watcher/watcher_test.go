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

var errDown = errors.New("platform is down")

// platform is a fake with one object per version.
type platform struct {
	mu      sync.Mutex
	objects []control.Object
	down    bool
	lists   int
	watches int
	// hasty makes watches return at once.
	hasty   bool
	changed chan struct{}
}

func (p *platform) change(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) add(name string) {
	p.change(func() {
		p.objects = append(p.objects, control.Object{Name: name, Version: int64(len(p.objects) + 1)})
	})
}

func (p *platform) List(context.Context, string) ([]control.Object, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, 0, errDown
	}
	p.lists++
	return p.objects, int64(len(p.objects)), nil
}

func (p *platform) Watch(ctx context.Context, _ string, after int64) ([]control.Object, int64, error) {
	for {
		p.mu.Lock()
		down, objects, changed, hasty := p.down, p.objects, p.changed, p.hasty
		p.watches++
		p.mu.Unlock()
		if hasty {
			return nil, after, nil
		}
		if down {
			return nil, 0, errDown
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

// directory is a fake that records versions.
type directory struct {
	mu       sync.Mutex
	versions map[string]int64
	watching bool
	changed  chan struct{}
}

func (d *directory) PutObject(_ time.Time, o control.Object) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions[o.Name] = o.Version
	return true
}

func (d *directory) Watching() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching
}

func (d *directory) Subscribe() (<-chan struct{}, func()) {
	return d.changed, func() {}
}

func (d *directory) watch(on bool) {
	d.mu.Lock()
	d.watching = on
	d.mu.Unlock()
	d.changed <- struct{}{}
	synctest.Wait()
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.versions)
}

// run starts a watcher in a bubble and stops it at the end of the test.
func run(t *testing.T, test func(*platform, *directory)) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{changed: make(chan struct{})}
		d := &directory{versions: map[string]int64{}, watching: true, changed: make(chan struct{}, 1)}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		w := watcher.New(p, d, &log.Logger{Handler: discard.New()})
		go func() { done <- w.Run(ctx) }()
		test(p, d)
		stop()
		must.ErrorIs(t, <-done, context.Canceled)
	})
}

// Guards against changes being missed between the list and the watch and during an outage,
// and against a watcher that gives up.
func TestOutage(t *testing.T) {
	run(t, func(p *platform, d *directory) {
		p.add("a")
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 1, d.count())
		p.add("b")
		synctest.Wait()
		must.Eq(t, 2, d.count())
		p.change(func() { p.down = true })
		p.add("c")
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(t, 2, d.count())
		p.change(func() { p.down = false })
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 3, d.count())
		must.Eq(t, 2, p.lists)
	})
}

// Guards against members that keep a watch open although others have been chosen.
func TestChosen(t *testing.T) {
	run(t, func(p *platform, d *directory) {
		time.Sleep(time.Second)
		synctest.Wait()
		d.watch(false)
		p.add("a")
		synctest.Wait()
		must.Eq(t, 0, d.count())
		d.watch(true)
		must.Eq(t, 1, d.count())
		must.Eq(t, 2, p.lists)
	})
}

// Guards against every process of a restarted fleet listing before it knows the others.
func TestSettle(t *testing.T) {
	run(t, func(p *platform, _ *directory) {
		time.Sleep(999 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 0, p.lists)
	})
}

// Guards against a platform that answers watches at once, because it is empty, being called without pause.
func TestEmptyPlatform(t *testing.T) {
	run(t, func(p *platform, _ *directory) {
		p.change(func() { p.hasty = true })
		time.Sleep(11 * time.Second)
		synctest.Wait()
		must.Between(t, 10, p.watches, 21)
	})
}
