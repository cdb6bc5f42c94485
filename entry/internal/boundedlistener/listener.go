// Package boundedlistener limits the connections that a listener accepts from programs that may not be peers.
//
// A connection on which nothing has arrived within a time is closed. At the limit, the one that has been silent
// since it was accepted for longest makes room for a new one; if there is none, the new one is closed. A peer
// sends its first message at once, so it is never closed for others.
//
// # Usage
//
//	l := boundedlistener.New(inner, 400, 2*time.Second)
//	server.Serve(ctx, l)
package boundedlistener

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Listener is a net.Listener with a limit for its connections.
type Listener struct {
	net.Listener
	limit        int
	firstTimeout time.Duration

	mu   sync.Mutex
	open int
	// silent are the connections on which nothing has arrived, in the order in which they were accepted.
	silent []*conn
	// closed counts the connections that were closed because of the limit or their silence.
	closed atomic.Int64
}

// New returns a listener that accepts from another one. The first byte of a connection must arrive within
// firstTimeout.
func New(inner net.Listener, limit int, firstTimeout time.Duration) *Listener {
	return &Listener{Listener: inner, limit: limit, firstTimeout: firstTimeout}
}

// Counts returns the number of open connections and of those that were closed, for metrics.
func (l *Listener) Counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{"open": int64(l.open), "closed": l.closed.Load()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.closed.Add(1)
		_ = inner.Close()
	}
}

// admit returns the connection for the caller of Accept, or nil if there is no room.
func (l *Listener) admit(inner net.Conn) *conn {
	l.mu.Lock()
	var evicted *conn
	if l.open >= l.limit {
		if len(l.silent) == 0 {
			l.mu.Unlock()
			return nil
		}
		evicted = l.silent[0]
	}
	c := &conn{Conn: inner, listener: l}
	l.open++
	l.silent = append(l.silent, c)
	l.mu.Unlock()
	if evicted != nil {
		l.closed.Add(1)
		_ = evicted.Close()
	}
	_ = inner.SetReadDeadline(time.Now().Add(l.firstTimeout))
	return c
}

// spoke records that bytes have arrived on a connection.
func (l *Listener) spoke(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = slices.DeleteFunc(l.silent, func(other *conn) bool { return other == c })
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	spoken   atomic.Bool
	once     sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.spoken.Swap(true) {
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.listener.spoke(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.spoke(c)
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
