package backend

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// pool keeps connections of which each carries one request at a time.
//
// A request first takes a place and only then an idle connection or a new one. So
// there are never more connections than places.
type pool struct {
	dial   func(context.Context) (*conn, error)
	places chan struct{}
	// single pools close each connection after one request.
	single bool
	dials  atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	all    map[*conn]struct{}
	closed bool
}

func newPool(dial func(context.Context) (*conn, error), limit int) *pool {
	return &pool{dial: dial, places: make(chan struct{}, limit), all: make(map[*conn]struct{})}
}

// get returns a connection without a request.
func (p *pool) get(ctx context.Context) (*conn, error) {
	select {
	case p.places <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("backend: wait for a connection: %w", ctx.Err())
	}
	if c := p.pop(time.Now()); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.places
		return nil, err
	}
	p.dials.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		<-p.places
		return nil, ErrClosed
	}
	p.all[c] = struct{}{}
	return c, nil
}

// pop returns the idle connection that was used last, or nil.
func (p *pool) pop(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.usable(now) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// put gives a connection back; one that cannot carry another request is closed.
func (p *pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	if reusable && !p.single && !p.closed && !c.silent.Load() {
		c.idle = time.Now()
		p.idle = append(p.idle, c)
	} else {
		p.drop(c)
	}
	p.mu.Unlock()
	<-p.places
}

// drop closes a connection; the caller holds the lock.
func (p *pool) drop(c *conn) {
	delete(p.all, c)
	c.Close()
}

// quiet returns the connections on which the server has owed bytes for some time.
func (p *pool) quiet(now time.Time, limit time.Duration) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*conn
	for c := range p.all {
		if c.quiet(now, limit) {
			list = append(list, c)
		}
	}
	return list
}

// busy tells whether a request holds a connection.
func (p *pool) busy() bool {
	return len(p.places) > 0
}

// dropIdle closes the idle connections.
func (p *pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.drop(c)
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}

func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all), len(p.idle)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}
