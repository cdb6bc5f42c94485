// Package follow keeps a copy of the objects of one kind in the platform's store.
//
// It lists the objects once and then waits for changes. A watch may hear nothing for a while
// and then be cut off, and history may be dropped, so every error leads to a new list at
// once, and to a pause only when the list fails too.
//
// # Usage
//
//	f := follow.New(store, kind, sink, watchTimeout, logger)
//	go f.Run(ctx)
//	f.Check()
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/platform"
)

const (
	// Idle means that the store is not watched, because another process tells of all changes. Each
	// call has a price, and a change would be one call for every process.
	Idle = time.Duration(0)
	// idleInterval is the time between two looks at whether that is still so; Check ends it at once.
	idleInterval = 2 * time.Second
	// ShortWait is how long a watch waits otherwise. A watch may hear nothing for a second, and a
	// change must be in force within two.
	ShortWait = 600 * time.Millisecond
	// gather is the time after a change in which further ones are left to come in, so that one
	// call brings them all.
	gather = 80 * time.Millisecond
	// watchSlack is the time beyond its waiting after which a watch counts as lost.
	watchSlack = time.Second
	// listTimeout bounds a list; the store answers in milliseconds, and in a quarter of a
	// second when it is slow.
	listTimeout = 1500 * time.Millisecond
	// shortestPause and longestPause bound the time between two calls that fail. An outage of
	// the store must be noticed within two seconds of its end by all processes, at a price for each call.
	shortestPause = 100 * time.Millisecond
	longestPause  = 800 * time.Millisecond
)

// Store lists and watches objects.
type Store interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Sink takes the objects.
type Sink interface {
	// Reset takes the whole list.
	Reset(now time.Time, objects []platform.Object)
	// Apply takes changes in their order.
	Apply(now time.Time, events []platform.Event)
	// Lost notes that the store could not be reached.
	Lost(now time.Time)
}

// Follower follows one kind.
type Follower struct {
	store  Store
	kind   string
	sink   Sink
	logger log.Interface
	// watchTimeout returns how long the next watch waits, or Idle.
	watchTimeout func() time.Duration

	mu    sync.Mutex
	abort context.CancelFunc
	// missed is true from Check until the list is read; there may be no watch to end.
	missed bool
	// heard is when the store last answered.
	heard time.Time
}

// New returns a follower that does nothing until Run.
func New(store Store, kind string, sink Sink, watchTimeout func() time.Duration, logger log.Interface) *Follower {
	return &Follower{store: store, kind: kind, sink: sink, watchTimeout: watchTimeout, logger: logger.WithField("kind", kind)}
}

// Check ends a watch that has missed a change, so that the list is read again.
func (f *Follower) Check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed = true
	if f.abort != nil {
		f.abort()
		f.abort = nil
	}
}

// Heard returns when the store last answered a list or a watch; zero if the latest list failed.
func (f *Follower) Heard() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard
}

// markCurrent notes that the store has answered.
func (f *Follower) markCurrent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
}

// markStale notes that the copy may be out of date.
func (f *Follower) markStale() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Time{}
}

// begin returns the context of a watch that Check can end.
func (f *Follower) begin(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(ctx, wait+watchSlack)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abort = cancel
	if f.missed {
		cancel()
	}
	return bounded, cancel
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := shortestPause
	lost := false
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err != nil {
			f.markStale()
			f.sink.Lost(time.Now())
			if !lost {
				f.logger.WithError(err).Warn("store can't be read")
			}
			lost = true
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestPause)
			continue
		}
		if lost {
			f.logger.Info("store can be read again")
		}
		pause, lost = shortestPause, false
		f.watch(ctx, revision)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	f.missed = false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.markCurrent()
	f.sink.Reset(time.Now(), objects)
	return revision, nil
}

// watch waits for changes until a call fails.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		wait := f.watchTimeout()
		if wait == Idle {
			f.waitIdle(ctx)
			return
		}
		bounded, cancel := f.begin(ctx, wait)
		events, next, err := f.store.Watch(bounded, f.kind, revision, wait)
		checked := bounded.Err() != nil
		cancel()
		if err != nil {
			if !checked && !errors.Is(err, platform.ErrCompacted) {
				f.logger.WithError(err).Info("watch ended")
			}
			return
		}
		f.markCurrent()
		if len(events) > 0 {
			f.sink.Apply(time.Now(), events)
			sleep(ctx, gather)
		}
		revision = next
	}
}

// waitIdle waits while another process tells of changes. After it, the list must be read again,
// because a change may have been missed.
func (f *Follower) waitIdle(ctx context.Context) {
	for f.watchTimeout() == Idle {
		bounded, cancel := f.begin(ctx, idleInterval-watchSlack)
		<-bounded.Done()
		cancel()
		if !errors.Is(bounded.Err(), context.DeadlineExceeded) {
			return
		}
	}
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
