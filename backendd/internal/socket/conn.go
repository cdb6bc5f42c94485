package socket

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection that can be silenced.
type Conn struct {
	net.Conn
	listener  *Listener
	delayOnce sync.Once
	closeOnce sync.Once
	control   atomic.Bool
	silent    atomic.Bool
}

func newConn(c net.Conn, l *Listener) *Conn {
	return &Conn{Conn: c, listener: l}
}

// SetControl marks the connection as one for control requests, which Silence skips.
func (c *Conn) SetControl() {
	c.control.Store(true)
}

// Read reads from the connection; the first call takes the dial cost. A silent
// connection discards all bytes until the peer closes it.
func (c *Conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.dialCost) })
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write writes to the connection. A silent connection discards the bytes and reports
// success.
func (c *Conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the listener's count.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.listener.remove(c) })
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("socket: close: %w", err)
	}
	return nil
}
