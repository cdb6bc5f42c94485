package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentAfter is the time without a byte after which a connection is suspected.
	silentAfter = 300 * time.Millisecond
	// silentGrace lets a server that was frozen as a whole answer its old
	// connections after it has answered the probe.
	silentGrace = 100 * time.Millisecond
	// watchEvery is the time between two looks at the connections in use.
	watchEvery = 100 * time.Millisecond
	// probeTimeout is the time within which a probe must be answered.
	probeTimeout = 200 * time.Millisecond
)

// silence watches the connections in use.
type silence struct {
	armed  atomic.Bool
	closed atomic.Int64

	// stopping ends a probe that is under way when the client is closed.
	stopping context.Context
	stop     context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

// arm starts the watch unless it runs.
func (s *silence) arm(after time.Duration) {
	if s.armed.Swap(true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Err() == nil {
		s.timer.Reset(after)
	}
}

// end stops the watch for good.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	s.timer.Stop()
}

// watch probes the server while a connection is quiet and ends when no request is in flight.
func (c *Client) watch() {
	if len(c.quiet(time.Now())) > 0 {
		ctx, cancel := context.WithTimeout(c.silence.stopping, probeTimeout)
		// A failed probe says that the server and not the connection is at fault.
		_ = c.Probe(ctx)
		cancel()
	}
	c.silence.armed.Store(false)
	if c.requests.busy() || c.grants.busy() {
		c.silence.arm(watchEvery)
	}
}

// quiet returns all connections that are suspected at the given moment.
func (c *Client) quiet(now time.Time) []*conn {
	return append(c.requests.quiet(now, silentAfter), c.grants.quiet(now, silentAfter)...)
}

// closeSilent closes the given connections if the server has sent nothing on them
// since a probe that began at the given time was answered. Idle connections are
// closed with them, because what silenced the one may have silenced all.
func (c *Client) closeSilent(suspects []*conn, began time.Time) {
	found := false
	for _, s := range suspects {
		if s.quiet(began, silentAfter) && !s.silent.Swap(true) {
			s.Close()
			c.silence.closed.Add(1)
			found = true
		}
	}
	if found {
		c.requests.dropIdle()
		c.grants.dropIdle()
	}
}
