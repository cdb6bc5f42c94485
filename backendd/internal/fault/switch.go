// Package fault holds the faults that a stand-in shows at the moment.
//
// # Usage
//
//	if err := s.Thaw(ctx); err != nil {
//		// Cancelled while the server was frozen.
//	}
//	if s.Truncated() {
//		// Cut this answer short.
//	}
package fault

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Switch holds a State that changes while the server runs.
type Switch struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a switch without faults on which the crash header works.
func New() *Switch {
	return &Switch{state: State{Slow: 1, Crash: true}, changed: make(chan struct{})}
}

// State returns the faults in force.
func (s *Switch) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Change applies a change to the state and wakes those that wait for the end of a freeze.
func (s *Switch) Change(apply func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(&s.state)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Thaw waits until the server is not frozen.
func (s *Switch) Thaw(ctx context.Context) error {
	for {
		s.mu.Lock()
		wait, changed := time.Until(s.state.FrozenUntil), s.changed
		s.mu.Unlock()
		if wait <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fault: frozen: %w", ctx.Err())
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// Truncated tells whether the next answer is to be cut short, and counts it.
func (s *Switch) Truncated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Truncate > 0 {
		s.state.Truncate--
		return true
	}
	return s.state.Truncate < 0
}
