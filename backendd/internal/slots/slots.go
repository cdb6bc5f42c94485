// Package slots limits concurrent executions and the line of requests that wait for one.
//
// # Usage
//
//	if err := s.Acquire(ctx); err != nil {
//		// Full, or cancelled while waiting.
//	}
//	defer s.Release()
package slots

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrFull is returned when all slots and the whole line are taken.
var ErrFull = eris.New("slots: full")

// Slots is a counting semaphore with a bounded number of waiters.
type Slots struct {
	free    chan struct{}
	line    int64
	waiting atomic.Int64
}

// New returns slots of which all are free.
func New(count, line int) *Slots {
	s := &Slots{free: make(chan struct{}, count), line: int64(line)}
	for range count {
		s.free <- struct{}{}
	}
	return s
}

// Acquire takes a slot, waiting in the line if there is room.
func (s *Slots) Acquire(ctx context.Context) error {
	select {
	case <-s.free:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.line {
		return ErrFull
	}
	select {
	case <-s.free:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("slots: wait: %w", ctx.Err())
	}
}

// Release returns a slot.
func (s *Slots) Release() {
	s.free <- struct{}{}
}

// Used returns the number of slots in use.
func (s *Slots) Used() int {
	return cap(s.free) - len(s.free)
}

// Waiting returns the number of requests in the line.
func (s *Slots) Waiting() int {
	return int(s.waiting.Load())
}
