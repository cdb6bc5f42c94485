// Package fault controls the faults that a simulated backend server shows.
//
// # Usage
//
//	if err := i.WaitUnfrozen(ctx); err != nil {
//		// ctx ended while the server was frozen.
//	}
//	if i.TakeTruncation() {
//		// Truncate this response.
//	}
package fault

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Injector holds a State that can change while the server runs.
type Injector struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns an injector without active faults. The crash header is enabled.
func New() *Injector {
	return &Injector{state: State{SlowFactor: 1, CrashEnabled: true}, changed: make(chan struct{})}
}

// State returns the active faults.
func (i *Injector) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// Update changes the state with apply and wakes all callers of WaitUnfrozen, so that
// they see a freeze that was shortened or extended.
func (i *Injector) Update(apply func(*State)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	apply(&i.state)
	close(i.changed)
	i.changed = make(chan struct{})
}

// WaitUnfrozen waits until the server is not frozen, or returns an error if ctx ends
// first.
func (i *Injector) WaitUnfrozen(ctx context.Context) error {
	for {
		i.mu.Lock()
		wait, changed := time.Until(i.state.FrozenUntil), i.changed
		i.mu.Unlock()
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

// TakeTruncation reports whether the next response is to be truncated, and counts that
// response.
func (i *Injector) TakeTruncation() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.TruncateCount > 0 {
		i.state.TruncateCount--
		return true
	}
	return i.state.TruncateCount < 0
}
