// Package fault holds the active faults of the simulated platform.
//
// # Usage
//
//	state, changed := i.State()
package fault

import "sync"

// Injector holds a State that can be changed while the server runs.
type Injector struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns an injector without active faults.
func New() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// State returns the active faults and a channel that is closed at the next change.
func (i *Injector) State() (State, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state, i.changed
}

// Update changes the state with apply and closes the channel that State returned.
func (i *Injector) Update(apply func(*State)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply(&i.state)
	close(i.changed)
	i.changed = make(chan struct{})
}

// ConsumeResponseLoss reports whether the response to a write must be lost; if so, it decrements
// State.LoseResponses.
func (i *Injector) ConsumeResponseLoss() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.LoseResponses <= 0 {
		return false
	}
	i.state.LoseResponses--
	return true
}
