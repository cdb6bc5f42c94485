// Package fault holds the faults that the simulated platform shows at the moment.
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

// New returns an injector without faults.
func New() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// State returns the faults in force and a channel that is closed at the next change.
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
