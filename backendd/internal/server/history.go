package server

import (
	"sync"
	"time"
)

// historyLength is the age of the oldest load that can be reported.
const historyLength = time.Minute

// loadHistory holds past loads, so that the load endpoint can report an old one.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

// loadSample is a load and the time from which it applies.
type loadSample struct {
	at   time.Time
	load load
}

// add records a changed load and drops the samples that ceased to apply more than
// historyLength ago.
func (h *loadHistory) add(now time.Time, l load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{now, l})
	old := 0
	for old+1 < len(h.samples) && now.Sub(h.samples[old+1].at) > historyLength {
		old++
	}
	h.samples = h.samples[old:]
}

// loadAt returns the load at a time, or an empty load if no sample is that old.
func (h *loadHistory) loadAt(at time.Time) load {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) {
			return h.samples[i].load
		}
	}
	return load{}
}
