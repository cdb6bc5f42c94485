package gateway

import (
	"net/http"
	"sync"
	"time"
)

// bodyReads holds the deadlines of the bodies that are being read. It is safe for concurrent use.
type bodyReads struct {
	mu sync.Mutex
	// limit is the latest deadline of all bodies; zero for no limit.
	limit     time.Time
	deadlines map[*http.ResponseController]time.Time
}

func newBodyReads() *bodyReads {
	return &bodyReads{deadlines: make(map[*http.ResponseController]time.Time)}
}

// begin sets the deadline of a body that is going to be read.
func (b *bodyReads) begin(c *http.ResponseController, deadline time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.IsZero() && b.limit.Before(deadline) {
		deadline = b.limit
	}
	b.deadlines[c] = deadline
	return c.SetReadDeadline(deadline)
}

// end removes a body that is no longer read. Its deadline stays set.
func (b *bodyReads) end(c *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.deadlines, c)
}

// limitTo moves the deadlines of all bodies to the given time if they are later. It returns the first
// error.
func (b *bodyReads) limitTo(limit time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	var first error
	for c, deadline := range b.deadlines {
		if !limit.Before(deadline) {
			continue
		}
		if err := c.SetReadDeadline(limit); err != nil && first == nil {
			first = err
		}
	}
	return first
}
