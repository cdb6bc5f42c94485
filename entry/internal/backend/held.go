package backend

import (
	"sync"
	"time"
)

// held is the latest time until which the server may hold any grant.
type held struct {
	mu    sync.Mutex
	until time.Time
}

// extend moves the time if the new one is later, and returns it.
func (h *held) extend(t time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.After(h.until) {
		h.until = t
	}
	return h.until
}
