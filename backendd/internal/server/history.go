package server

import (
	"sync"
	"time"
)

// memory is how far back a lagging load can reach.
const memory = time.Minute

// history remembers the load for endpoints that report it late.
type history struct {
	mu      sync.Mutex
	samples []sample
}

// sample is the load from a time on.
type sample struct {
	at   time.Time
	load load
}

// add records a change and forgets samples that are too old.
func (h *history) add(now time.Time, l load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, sample{now, l})
	old := 0
	for old+1 < len(h.samples) && now.Sub(h.samples[old+1].at) > memory {
		old++
	}
	h.samples = h.samples[old:]
}

// at returns the load at a time.
func (h *history) at(when time.Time) load {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(when) {
			return h.samples[i].load
		}
	}
	return load{}
}
