package backend

import (
	"sync"
	"time"
)

// grantExpiry is the latest time until which the server may hold any grant.
type grantExpiry struct {
	mu    sync.Mutex
	until time.Time
}

// extend sets the time to t if t is later, and returns the time.
func (h *grantExpiry) extend(t time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.After(h.until) {
		h.until = t
	}
	return h.until
}
