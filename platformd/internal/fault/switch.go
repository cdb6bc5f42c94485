// Package fault holds the faults that the platform shows at the moment.
//
// # Usage
//
//	state, changed := s.State()
package fault

import "sync"

// Switch holds a State that changes while the server runs.
type Switch struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a switch without faults.
func New() *Switch {
	return &Switch{changed: make(chan struct{})}
}

// State returns the faults in force and a channel that is closed at the next change.
func (s *Switch) State() (State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.changed
}

// Change applies a change to the state.
func (s *Switch) Change(apply func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(&s.state)
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseAnswer tells whether the answer to a write is to be lost, and counts it.
func (s *Switch) LoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.LoseAnswers <= 0 {
		return false
	}
	s.state.LoseAnswers--
	return true
}
