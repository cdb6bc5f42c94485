package backend

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// sweepInterval is the time between two checks of the idle connections.
const sweepInterval = time.Second

// pool keeps connections, each of which carries one request at a time.
//
// A request first takes one of a fixed number of permits and only then an idle or a new
// connection. So there are never more connections than permits.
type pool struct {
	dial    func(context.Context) (*conn, error)
	permits chan struct{}
	// singleUse makes the pool close each connection after one request.
	singleUse bool
	dials     atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	conns  map[*conn]struct{}
	closed bool
	// sweeper calls closeUnusable; sweeping is true while it is due.
	sweeper  *time.Timer
	sweeping bool
}

func newPool(dial func(context.Context) (*conn, error), limit int) *pool {
	p := &pool{dial: dial, permits: make(chan struct{}, limit), conns: make(map[*conn]struct{})}
	p.sweeper = time.AfterFunc(sweepInterval, p.closeUnusable)
	p.sweeper.Stop()
	return p
}

// get waits for a permit and returns an idle connection or a new one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("backend: wait for a connection: %w", ctx.Err())
	}
	if c := p.takeIdle(time.Now()); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.permits
		return nil, err
	}
	p.dials.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		<-p.permits
		return nil, ErrClosed
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// takeIdle returns the most recently used idle connection that can be reused, or nil.
func (p *pool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.isReusable(now) {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// put returns a connection and its permit to the pool. It closes a connection that can't
// carry another request.
func (p *pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	if reusable && !p.singleUse && !p.closed && !c.closedAsSilent.Load() {
		c.idle = time.Now()
		p.idle = append(p.idle, c)
		p.scheduleSweep()
	} else {
		p.closeConn(c)
	}
	p.mu.Unlock()
	<-p.permits
}

// scheduleSweep schedules the next check of the idle connections unless it is due already.
// The caller must hold the lock.
func (p *pool) scheduleSweep() {
	if !p.sweeping {
		p.sweeping = true
		p.sweeper.Reset(sweepInterval)
	}
}

// closeUnusable closes the idle connections that have expired or on which the server has sent
// bytes, so that they hold no memory of the kernel and no file descriptor until the next request.
func (p *pool) closeUnusable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.isReusable(now) {
			return false
		}
		p.closeConn(c)
		return true
	})
	if len(p.idle) > 0 {
		p.scheduleSweep()
	}
}

// closeConn closes a connection and removes it from the pool. The caller must hold the lock.
func (p *pool) closeConn(c *conn) {
	delete(p.conns, c)
	c.Close()
}

// stalledConns returns the connections that are stalled at the given time.
func (p *pool) stalledConns(now time.Time, limit time.Duration) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*conn
	for c := range p.conns {
		if c.isStalled(now, limit) {
			conns = append(conns, c)
		}
	}
	return conns
}

// inUse reports whether any request holds or waits to open a connection.
func (p *pool) inUse() bool {
	return len(p.permits) > 0
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}

func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), len(p.idle)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.sweeper.Stop()
	p.mu.Unlock()
	p.closeIdle()
}
