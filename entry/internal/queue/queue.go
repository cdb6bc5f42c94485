// Package queue decides which waiting request of an upstream gets the next slot.
//
// An upstream is one backend server, and a slot is the right to run one request
// on it. The entry VM that holds the lease of the upstream has one queue for it,
// with a first-in first-out list of waiting requests for each rank. A rank that
// has had less than its floor, its guaranteed number of slots, is served first,
// then the most urgent one. A cap limits the slots of a rank, and uploads leave
// up to two slots to the other ranks while those have work. A request that
// cannot be complete by its deadline is refused at once, so that its client may
// try again later and no slot is spent on it. A Policy, a value without state,
// makes the choice. The queue uses FloorPolicy; FIFOPolicy, StrictPriorityPolicy
// and FixedSharePolicy are baselines for experiments.
//
// Floors hold over time: a waiting rank is credited with slot time at the rate of
// its floor and debited with the slot time that it uses while others wait. A
// floor of less than one slot is therefore exact and not rounded up to a whole
// slot.
//
// # Usage
//
// Tick must be called about every 100 ms: it refuses requests that can no longer
// be complete by their deadline and starts uploads when the other ranks have
// become idle.
//
//	q := queue.New(upstream.Slots, time.Now)
//	q.SetLimits(preset)
//	slot, err := q.Acquire(ctx, queue.Request{Rank: rank.Lookup, Deadline: deadline})
//	if refusal, ok := errors.AsType[*queue.RefusalError](err); ok {
//		// The request was not run; tell the client to retry at refusal.EarliestRetry.
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
	drained   chan struct{}
}

// New returns a queue without limits other than the number of slots.
func New(slots int, clock func() time.Time) *Queue {
	return &Queue{clock: clock, scheduler: newScheduler(slots, FloorPolicy{}, clock())}
}

// SetLimits applies the limits of a preset. Requests that already wait are kept, even above a new limit.
func (q *Queue) SetLimits(preset configuration.Preset) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.setLimits(preset.Ranks)
	q.scheduler.dispatch(q.clock())
}

// SetSlots changes the number of slots; running requests above the new number are not interrupted.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.setSlots(slots)
	q.scheduler.dispatch(q.clock())
}

// Tick refuses requests that can no longer be complete by their deadline and starts those that may run now.
func (q *Queue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.refuseOverdue(now)
	q.scheduler.dispatch(now)
	q.signalDrained()
}

// Acquire waits for a slot. An error means that the request was not started: a *RefusalError if the queue
// refused it, otherwise an error that wraps the cause of the context's end.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	s, err := q.enqueue(request)
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

// Drain refuses new requests and waits until all earlier ones have finished or the context ends.
func (q *Queue) Drain(ctx context.Context) error {
	q.mu.Lock()
	q.scheduler.draining = true
	if q.drained == nil {
		q.drained = make(chan struct{})
	}
	drained := q.drained
	q.signalDrained()
	q.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("queue: drain: %w", context.Cause(ctx))
	}
}

// Close refuses all waiting and new requests; running ones are not interrupted.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.close(q.clock())
	q.signalDrained()
}

// State returns a snapshot for dumps and metrics.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.state(q.clock())
}

// enqueue admits a request and starts it if possible. If it must wait, the slot has a ready channel.
func (q *Queue) enqueue(request Request) (*Slot, error) {
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

// release frees a slot and starts the requests that may run next.
func (q *Queue) release(s *Slot, serviceTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.finish(now, s, serviceTime)
	q.scheduler.dispatch(now)
	q.signalDrained()
}

// abandon removes a request whose context has ended. The request may have got its slot at the same
// moment, in which case the slot is freed.
func (q *Queue) abandon(s *Slot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.scheduler.abandon(now, s)
	q.scheduler.dispatch(now)
	q.signalDrained()
}

// signalDrained wakes Drain when no request waits or runs.
func (q *Queue) signalDrained() {
	if q.drained != nil && q.scheduler.isIdle() {
		close(q.drained)
		q.drained = nil
	}
}
