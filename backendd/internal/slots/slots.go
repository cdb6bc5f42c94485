// Package slots limits the number of concurrent executions and of requests that
// wait for a slot.
//
// # Usage
//
//	if err := s.Acquire(ctx); err != nil {
//		// The queue is full, or ctx ended while waiting.
//	}
//	defer s.Release()
package slots

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrFull is returned when all slots are in use and the queue is full.
var ErrFull = eris.New("slots: all slots are in use and the queue is full")

// Slots is a counting semaphore with a bounded number of waiters.
type Slots struct {
	free       chan struct{}
	maxWaiting int64
	waiting    atomic.Int64
}

// New returns count free slots and a queue of at most maxWaiting requests.
func New(count, maxWaiting int) *Slots {
	s := &Slots{free: make(chan struct{}, count), maxWaiting: int64(maxWaiting)}
	for range count {
		s.free <- struct{}{}
	}
	return s
}

// Acquire takes a slot. It waits for one if the queue has room.
func (s *Slots) Acquire(ctx context.Context) error {
	select {
	case <-s.free:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.maxWaiting {
		return ErrFull
	}
	select {
	case <-s.free:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("slots: wait: %w", ctx.Err())
	}
}

// Release gives back a slot that Acquire has taken.
func (s *Slots) Release() {
	s.free <- struct{}{}
}

// Used returns the number of slots in use.
func (s *Slots) Used() int {
	return cap(s.free) - len(s.free)
}

// Waiting returns the number of requests in the queue.
func (s *Slots) Waiting() int {
	return int(s.waiting.Load())
}
