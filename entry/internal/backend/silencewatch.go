package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silenceThreshold is the time without a byte after which a connection counts as stalled.
	silenceThreshold = 300 * time.Millisecond
	// silenceGrace is the time between the response to a probe and the closing of stalled
	// connections. In that time a server process that was frozen and has resumed can respond
	// on its old connections.
	silenceGrace = 100 * time.Millisecond
	// checkInterval is the time between two checks of the connections in use.
	checkInterval = 100 * time.Millisecond
	// probeTimeout is the time limit for a probe that checkStalled sends.
	probeTimeout = 200 * time.Millisecond
)

// silenceWatch is the state of the periodic check for connections on which the server has
// gone silent.
type silenceWatch struct {
	// scheduled is true while a check is scheduled or running.
	scheduled atomic.Bool
	// closedCount is the number of connections closed as silent.
	closedCount atomic.Int64

	// probeCtx is the parent context of the check's probes; it ends when the client is closed.
	probeCtx    context.Context
	cancelProbe context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

// schedule schedules a check unless one is already scheduled or the client is closed.
func (s *silenceWatch) schedule(after time.Duration) {
	if s.scheduled.Swap(true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeCtx.Err() == nil {
		s.timer.Reset(after)
	}
}

// stop cancels a probe in progress and prevents all further checks.
func (s *silenceWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelProbe()
	s.timer.Stop()
}

// checkStalled probes the server if a connection is stalled. It schedules the next check
// while any request or grant is in flight.
func (c *Client) checkStalled() {
	if len(c.stalledConns(time.Now())) > 0 {
		ctx, cancel := context.WithTimeout(c.silenceWatch.probeCtx, probeTimeout)
		// If the probe fails, the fault lies with the server and not with the connection.
		_ = c.Probe(ctx)
		cancel()
	}
	c.silenceWatch.scheduled.Store(false)
	if c.requestPool.inUse() || c.grantPool.inUse() {
		c.silenceWatch.schedule(checkInterval)
	}
}

// stalledConns returns all connections for requests and grants that are stalled at the given time.
func (c *Client) stalledConns(now time.Time) []*conn {
	return append(c.requestPool.stalledConns(now, silenceThreshold), c.grantPool.stalledConns(now, silenceThreshold)...)
}

// closeSilent closes those of the given connections on which the server has still sent
// nothing, although it has answered a probe that began at the given time. It also closes
// the idle connections, because the same fault may have silenced them.
func (c *Client) closeSilent(candidates []*conn, probeStart time.Time) {
	closedAny := false
	for _, cn := range candidates {
		if cn.isStalled(probeStart, silenceThreshold) && !cn.closedAsSilent.Swap(true) {
			cn.Close()
			c.silenceWatch.closedCount.Add(1)
			closedAny = true
		}
	}
	if closedAny {
		c.requestPool.closeIdle()
		c.grantPool.closeIdle()
	}
}
