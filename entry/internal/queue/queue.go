// Package queue decides which waiting request of an upstream gets the next slot.
//
// The leaseholder of an upstream has one queue for it. Requests wait in one line
// for each rank. A rank that is short of its floor is served first, then the most
// urgent one; caps bound the slots of a rank, and uploads leave two slots to the
// other ranks while those have work. A request that cannot be complete by its
// deadline is refused at once, so that its caller may try again later and no slot
// is spent on it. The choice is made by a Policy, a pure value; First, Strict and
// Shares are baselines for experiments.
//
// Floors hold over time: a waiting rank collects slot time at the rate of its
// floor and pays with the slot time that it uses while others wait. A floor of
// less than one slot is therefore exact and not rounded up to a whole slot.
//
// # Usage
//
// Tick must be called about every 100 ms: it refuses requests whose deadline has
// come too near and starts uploads when the other ranks have become idle.
//
//	q := queue.New(upstream.Slots, time.Now)
//	q.Limits(preset)
//	slot, err := q.Acquire(ctx, queue.Request{Rank: rank.Lookup, Deadline: deadline})
//	if refusal, ok := errors.AsType[*queue.RefusalError](err); ok {
//		// The request was not run; tell the caller to retry at refusal.RetryAfter.
//	}
//	start := time.Now()
//	// Send the request.
//	slot.Release(time.Since(start))
package queue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
)

// Queue holds the slots and the waiting requests of one upstream. It is safe for concurrent use.
type Queue struct {
	clock func() time.Time

	mu        sync.Mutex
	scheduler scheduler
	empty     chan struct{}
}

// New returns a queue without limits other than the number of slots.
func New(slots int, clock func() time.Time) *Queue {
	return &Queue{clock: clock, scheduler: newScheduler(slots, Floors{}, clock())}
}

// Limits applies the limits of a preset; requests that wait already stay.
func (q *Queue) Limits(preset configuration.Preset) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.limits(preset.Ranks)
	q.scheduler.dispatch(q.clock())
}

// SetSlots changes the number of slots; running requests beyond it finish undisturbed.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.setSlots(slots)
	q.scheduler.dispatch(q.clock())
}

// Tick refuses overdue requests and reconsiders who may start.
func (q *Queue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.expire(now)
	q.scheduler.dispatch(now)
	q.signal()
}

// Acquire waits for a slot. An error means that the request was not started.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	s, err := q.enter(request)
	if err != nil {
		return nil, err
	}
	if s.ready == nil {
		return s, nil
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		q.abandon(s)
		return nil, fmt.Errorf("queue: %v waits for a slot: %w", request.Rank, context.Cause(ctx))
	}
	if s.refusal != nil {
		return nil, s.refusal
	}
	return s, nil
}

// Drain refuses new requests and waits until all earlier ones have finished.
func (q *Queue) Drain(ctx context.Context) error {
	q.mu.Lock()
	q.scheduler.draining = true
	if q.empty == nil {
		q.empty = make(chan struct{})
	}
	empty := q.empty
	q.signal()
	q.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("queue: drain: %w", context.Cause(ctx))
	}
}

// Close refuses all waiting and new requests; running ones finish undisturbed.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.close(q.clock())
	q.signal()
}

// State returns a snapshot.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.state(q.clock())
}

// enter admits a request; the slot has a ready channel if it must wait.
func (q *Queue) enter(request Request) (*Slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &Slot{queue: q, request: request}
	now := q.clock()
	if refusal := q.scheduler.admit(now, s); refusal != nil {
		return nil, refusal
	}
	q.scheduler.dispatch(now)
	switch s.phase {
	case refused:
		return nil, s.refusal
	case waiting:
		s.ready = make(chan struct{})
	}
	return s, nil
}

// release frees a slot and starts whoever is next.
func (q *Queue) release(s *Slot, service time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.finish(now, s, service)
	q.scheduler.dispatch(now)
	q.signal()
}

// abandon gives up a request whose context has ended, even if it got its slot in the same moment.
func (q *Queue) abandon(s *Slot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.abandon(now, s)
	q.scheduler.dispatch(now)
	q.signal()
}

// signal wakes Drain when nothing waits or runs.
func (q *Queue) signal() {
	if q.empty != nil && q.scheduler.idle() {
		close(q.empty)
		q.empty = nil
	}
}
