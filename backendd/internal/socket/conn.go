package socket

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	opening  sync.Once
	closing  sync.Once
	control  atomic.Bool
	silent   atomic.Bool
}

func newConn(c net.Conn, l *Listener) *Conn {
	return &Conn{Conn: c, listener: l}
}

// SetControl marks the connection as one that carries control requests, which Silence leaves alone.
func (c *Conn) SetControl() {
	c.control.Store(true)
}

// Read reads from the connection. A silent connection discards all bytes until the peer closes it.
func (c *Conn) Read(b []byte) (int, error) {
	c.opening.Do(func() { time.Sleep(c.listener.cost) })
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

// Write writes to the connection. On a silent connection the bytes are lost.
func (c *Conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place to another.
func (c *Conn) Close() error {
	c.closing.Do(func() { c.listener.remove(c) })
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("socket: close: %w", err)
	}
	return nil
}
