// Package follow keeps a copy of the objects of one kind in the platform's store up to date.
//
// It lists the objects once and then watches for changes. A watch may deliver nothing for a while and
// then be cut off, and the store may drop its history. So after every failed watch the objects are
// listed again at once; only after a failed list is there a delay.
//
// A process that starts first takes a cheap list that may be seconds old, and waits for another process to
// forward all changes. Unless one does, it lists the objects again before it watches them.
//
// # Usage
//
//	f := follow.New(store, kind, sink, watchTimeout, logger)
//	go f.Run(ctx)
//	f.Relist()
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
	// NoWatch is the watch timeout of a process that does not watch the store, because another process
	// forwards all changes to it. Each call to the store has a price, and every process that watches
	// makes a call for each change.
	NoWatch = time.Duration(0)
	// idleCheckInterval is how often an idle follower checks whether it must watch again; Relist ends the
	// interval at once.
	idleCheckInterval = 2 * time.Second
	// ShortWatchTimeout is the watch timeout of a process that watches the store. A watch may
	// deliver nothing for a second, and a change must be in force within two seconds.
	ShortWatchTimeout = 600 * time.Millisecond
	// batchDelay is the delay between a change and the next watch, so that one call returns all changes
	// made in the meantime.
	batchDelay = 80 * time.Millisecond
	// forwardingWait is how long a process that starts waits for another one that forwards changes, and
	// forwardingCheckInterval the time between two checks for it.
	forwardingWait          = 2 * time.Second
	forwardingCheckInterval = 50 * time.Millisecond
	// watchGrace is the time after the watch timeout at which an unanswered watch is cancelled.
	watchGrace = time.Second
	// listTimeout limits a list call. The store responds within milliseconds, and within a quarter of a
	// second when it is slow.
	listTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the average delay after a failed list. Each call has a price,
	// but all processes must notice the end of an outage of the store within two seconds.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Store lists and watches objects.
type Store interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	// ListStale is cheaper, and returns what the store may have had seconds ago.
	ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Sink receives the objects and their changes.
type Sink interface {
	// Reset replaces all objects by a new list.
	Reset(now time.Time, objects []platform.Object)
	// ResetEmpty takes over a list that may be old, unless there are objects already.
	ResetEmpty(now time.Time, objects []platform.Object)
	// Apply applies changes in their order.
	Apply(now time.Time, events []platform.Event)
	// RecordOutage records that the store could not be read at the given time.
	RecordOutage(now time.Time)
}

// Follower follows the objects of one kind.
type Follower struct {
	store  Store
	kind   string
	sink   Sink
	logger log.Interface
	// watchTimeout returns how long the next watch waits for a change, or NoWatch.
	watchTimeout func() time.Duration

	mu         sync.Mutex
	cancelWait context.CancelFunc
	// relistRequested is true from Relist until the next list. Relist may be called between two waits,
	// when there is nothing to cancel.
	relistRequested bool
	// lastResponse is when the store last responded; zero if the latest list failed.
	lastResponse time.Time
	// fromStaleList is true while the objects are those of a stale list and of another process.
	fromStaleList bool
}

// New returns a follower that does nothing until Run.
func New(store Store, kind string, sink Sink, watchTimeout func() time.Duration, logger log.Interface) *Follower {
	return &Follower{store: store, kind: kind, sink: sink, watchTimeout: watchTimeout, logger: logger.WithField("kind", kind)}
}

// Relist cancels the current watch, which has missed a change, so that the objects are listed again.
func (f *Follower) Relist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relistRequested = true
	if f.fromStaleList {
		f.lastResponse = time.Time{}
	}
	if f.cancelWait != nil {
		f.cancelWait()
		f.cancelWait = nil
	}
}

// LastResponse returns when the store last responded to a list or watch, or zero if the latest list failed.
func (f *Follower) LastResponse() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastResponse
}

// markCurrent records that the store has responded, with a stale list or current objects.
func (f *Follower) markCurrent(fromStaleList bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse, f.fromStaleList = time.Now(), fromStaleList
}

// markStale records that the copy may be out of date.
func (f *Follower) markStale() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse = time.Time{}
}

// beginWait returns a context for a wait that Relist can cancel.
func (f *Follower) beginWait(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(ctx, wait+watchGrace)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = cancel
	if f.relistRequested {
		cancel()
	}
	return bounded, cancel
}

// Run follows the objects until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.startStale(ctx)
	delay := minRetryDelay
	unreachable := false
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err != nil {
			f.markStale()
			f.sink.RecordOutage(time.Now())
			if !unreachable {
				f.logger.WithError(err).Warn("store can't be read")
			}
			unreachable = true
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if unreachable {
			f.logger.Info("store can be read again")
		}
		delay, unreachable = minRetryDelay, false
		f.watch(ctx, revision)
	}
}

// startStale takes a stale list, and waits for another process that forwards changes and then while it does. It
// returns when the objects must be listed again.
func (f *Follower) startStale(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, _, err := f.store.ListStale(bounded, f.kind)
	if err != nil {
		f.sink.RecordOutage(time.Now())
		return
	}
	f.markCurrent(true)
	f.sink.ResetEmpty(time.Now(), objects)
	for waitUntil := time.Now().Add(forwardingWait); time.Now().Before(waitUntil) && ctx.Err() == nil; {
		if f.watchTimeout() == NoWatch {
			f.waitIdle(ctx)
			return
		}
		bounded, cancel := f.beginWait(ctx, forwardingCheckInterval-watchGrace)
		<-bounded.Done()
		cancel()
		if !errors.Is(bounded.Err(), context.DeadlineExceeded) {
			return
		}
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	f.relistRequested = false
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.store.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.markCurrent(false)
	f.sink.Reset(time.Now(), objects)
	return revision, nil
}

// watch passes changes to the sink until the objects must be listed again: because a watch has failed
// or Relist was called, or after an idle phase.
func (f *Follower) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		wait := f.watchTimeout()
		if wait == NoWatch {
			f.waitIdle(ctx)
			return
		}
		bounded, cancel := f.beginWait(ctx, wait)
		events, next, err := f.store.Watch(bounded, f.kind, revision, wait)
		cancelled := bounded.Err() != nil
		cancel()
		if err != nil {
			if !cancelled && !errors.Is(err, platform.ErrCompacted) {
				f.logger.WithError(err).Info("watch ended")
			}
			return
		}
		f.markCurrent(false)
		if len(events) > 0 {
			f.sink.Apply(time.Now(), events)
			sleep(ctx, batchDelay)
		}
		revision = next
	}
}

// waitIdle waits while another process forwards the changes. After it, the objects must be listed again,
// because a change may have been missed.
func (f *Follower) waitIdle(ctx context.Context) {
	for f.watchTimeout() == NoWatch {
		bounded, cancel := f.beginWait(ctx, idleCheckInterval-watchGrace)
		<-bounded.Done()
		cancel()
		if !errors.Is(bounded.Err(), context.DeadlineExceeded) {
			return
		}
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
