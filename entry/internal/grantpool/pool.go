// Package grantpool keeps the connections on which grants are sent to backend servers, and tells them
// apart. A connection ends with the process at its other end, so a grant that is sent on the connection
// on which an earlier one was accepted can only reach the process that has accepted that one, and not
// the next one at the address.
//
// # Usage
//
//	p := grantpool.New(dialer.DialContext, newTransport)
//	c, err := p.Acquire(ctx, to, number) // zero for any connection to the server
//	if err != nil {
//		return err // platform.ErrConnectionEnded: nothing was sent
//	}
//	response, err := c.RoundTrip(request)
//	// Read the response, then:
//	c.Release(err == nil)
package grantpool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bramleystand.org/platform"
)

const (
	// maxKept is the number of connections to a server that are kept open. More are opened while these
	// are in use.
	maxKept = 4
	// maxWait is how long a grant waits for the connection that it needs while another grant is on it.
	// An answer takes a few milliseconds; a grant whose answer is lost must not delay the others until
	// their keys lapse.
	maxWait = 100 * time.Millisecond
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps connections to backend servers, by number. It implements platform.Connections and is safe
// for concurrent use.
type Pool struct {
	dial         DialFunc
	newTransport func(DialFunc) *http.Transport

	mu       sync.Mutex
	last     uint64
	byNumber map[uint64]*connection
	byServer map[platform.Recipient][]*connection
}

// New returns a pool without connections. The transports that newTransport returns must open connections
// with the given function.
func New(dial DialFunc, newTransport func(DialFunc) *http.Transport) *Pool {
	return &Pool{dial: dial, newTransport: newTransport, byNumber: make(map[uint64]*connection), byServer: make(map[platform.Recipient][]*connection)}
}

// Acquire returns a connection to a server for the use of the caller, who must release it. If number is
// not zero, it is the connection with this number, or the error is platform.ErrConnectionEnded if that
// has ended or stays in use. Otherwise it is any connection that is not in use; a new one is opened by
// its first request.
func (p *Pool) Acquire(ctx context.Context, to platform.Recipient, number uint64) (platform.Connection, error) {
	p.mu.Lock()
	if number == 0 {
		defer p.mu.Unlock()
		return p.acquireAny(to), nil
	}
	c := p.byNumber[number]
	p.mu.Unlock()
	if c == nil || c.server != to {
		return nil, fmt.Errorf("grantpool: connection %d to %s: %w", number, to.Address, platform.ErrConnectionEnded)
	}
	return c.wait(ctx)
}

// acquireAny returns a connection that is not in use, or a new one. The lock is held.
func (p *Pool) acquireAny(to platform.Recipient) *connection {
	for _, c := range p.byServer[to] {
		select {
		case <-c.unused:
			return c
		default:
		}
	}
	p.last++
	c := &connection{pool: p, server: to, number: p.last, unused: make(chan struct{}, 1), ended: make(chan struct{})}
	c.transport = p.newTransport(c.dialOnce)
	p.byNumber[c.number] = c
	p.byServer[to] = append(p.byServer[to], c)
	return c
}

// remove removes a connection that has ended.
func (p *Pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byNumber[c.number] != c {
		return
	}
	close(c.ended)
	delete(p.byNumber, c.number)
	p.byServer[c.server] = slices.DeleteFunc(p.byServer[c.server], func(other *connection) bool { return other == c })
	if len(p.byServer[c.server]) == 0 {
		delete(p.byServer, c.server)
	}
}

// isSurplus reports whether there are too many connections to keep another one to a server.
func (p *Pool) isSurplus(to platform.Recipient) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byServer[to]) > maxKept
}

// connection is one TCP connection to a server. It implements platform.Connection.
type connection struct {
	pool      *Pool
	server    platform.Recipient
	number    uint64
	transport *http.Transport
	// unused holds one value while nobody uses the connection.
	unused chan struct{}
	// ended is closed when the connection has ended.
	ended chan struct{}

	mu     sync.Mutex
	dialed bool
}

// wait waits until the connection is not in use.
func (c *connection) wait(ctx context.Context) (*connection, error) {
	select {
	case <-c.unused:
		return c, nil
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-c.unused:
		return c, nil
	case <-c.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, fmt.Errorf("grantpool: connection %d to %s: %w", c.number, c.server.Address, platform.ErrConnectionEnded)
}

// dialOnce opens the connection. The transport calls it again when the connection has ended, also to
// repeat a request of which nothing was sent.
func (c *connection) dialOnce(ctx context.Context, network, address string) (net.Conn, error) {
	c.mu.Lock()
	again := c.dialed
	c.dialed = true
	c.mu.Unlock()
	if again {
		return nil, fmt.Errorf("grantpool: connection %d to %s: %w", c.number, c.server.Address, platform.ErrConnectionEnded)
	}
	opened, err := c.pool.dial(ctx, network, address)
	if err != nil {
		c.pool.remove(c)
		return nil, fmt.Errorf("grantpool: %w", err)
	}
	return &watchedConn{Conn: opened, connection: c}, nil
}

// Number implements platform.Connection.
func (c *connection) Number() uint64 { return c.number }

// RoundTrip implements http.RoundTripper.
func (c *connection) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("grantpool: %w", err)
	}
	return response, nil
}

// Release implements platform.Connection.
func (c *connection) Release(reusable bool) {
	if !reusable || c.pool.isSurplus(c.server) {
		c.pool.remove(c)
		c.transport.CloseIdleConnections()
		return
	}
	c.unused <- struct{}{}
}

// watchedConn removes its connection from the pool when it is closed.
type watchedConn struct {
	net.Conn
	connection *connection
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.connection.pool.remove(w.connection)
	if err := w.Conn.Close(); err != nil {
		return fmt.Errorf("grantpool: %w", err)
	}
	return nil
}
