// Package socket provides a listener with network faults: it can refuse new
// connections and silence existing ones.
//
// # Usage
//
//	l, err := socket.Listen(address, connections, dialCost)
//	go server.Serve(l)
//	l.Silence()
package socket

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// controlReserve is the number of connections accepted above the limit, so that
// control requests get through when the limit is reached.
const controlReserve = 8

// Listener accepts a limited number of connections.
type Listener struct {
	address  netip.AddrPort
	maxConns int
	dialCost time.Duration

	mu       sync.Mutex
	inner    net.Listener // nil while connections are refused
	reopened chan struct{}
	closed   bool
	conns    map[*Conn]struct{}
	peak     int
	dropped  int
}

// Listen opens a listener for at most maxConns connections. The first read of each
// connection takes dialCost.
func Listen(address netip.AddrPort, maxConns int, dialCost time.Duration) (*Listener, error) {
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("socket: listen: %w", err)
	}
	return &Listener{
		address:  inner.Addr().(*net.TCPAddr).AddrPort(),
		maxConns: maxConns,
		dialCost: dialCost,
		inner:    inner,
		reopened: make(chan struct{}),
		conns:    make(map[*Conn]struct{}),
	}, nil
}

// Accept returns the next connection. It waits while connections are refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.waitOpen()
		if err != nil {
			return nil, err
		}
		c, err := inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("socket: accept: %w", err)
		}
		if conn := l.add(c); conn != nil {
			return conn, nil
		}
		c.Close()
	}
}

// waitOpen returns the listening socket, and waits while connections are refused.
func (l *Listener) waitOpen() (net.Listener, error) {
	for {
		l.mu.Lock()
		inner, reopened, closed := l.inner, l.reopened, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		<-reopened
	}
}

// add registers a connection, or returns nil if there are too many already.
func (l *Listener) add(c net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns+controlReserve {
		l.dropped++
		return nil
	}
	conn := newConn(c, l)
	l.conns[conn] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return conn
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Refuse closes the listening socket, so that the kernel refuses new connections.
// Existing ones stay open.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		l.inner.Close()
		l.inner = nil
	}
}

// Reopen accepts connections on the same address again.
func (l *Listener) Reopen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil || l.closed {
		return nil
	}
	inner, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return fmt.Errorf("socket: reopen: %w", err)
	}
	l.inner = inner
	l.wakeAccept()
	return nil
}

// wakeAccept ends the wait of a blocked Accept. The caller must hold the lock.
func (l *Listener) wakeAccept() {
	close(l.reopened)
	l.reopened = make(chan struct{})
}

// Silence makes all existing connections except those of control requests silent
// until they close: received and written bytes are discarded. It returns the number
// of connections that it silenced.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		if !c.control.Load() && !c.silent.Swap(true) {
			count++
		}
	}
	return count
}

// Counts returns the number of open connections, its maximum so far, and the number
// of connections dropped above the limit.
func (l *Listener) Counts() (open, peak, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.peak, l.dropped
}

// Close closes the listening socket and makes Accept fail.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.wakeAccept()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr returns the listening address with the port that was assigned.
func (l *Listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
