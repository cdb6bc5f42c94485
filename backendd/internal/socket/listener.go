// Package socket provides a listener whose connections can be made to fail: new
// ones refused, existing ones silenced.
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

// exempt is the number of connections above the limit that are left to control requests.
const exempt = 8

// Listener accepts a limited number of connections.
type Listener struct {
	address netip.AddrPort
	limit   int
	cost    time.Duration

	mu       sync.Mutex
	inner    net.Listener // nil while connections are refused
	reopened chan struct{}
	closed   bool
	conns    map[*Conn]struct{}
	peak     int
	dropped  int
}

// Listen opens a listener for at most limit connections; each costs some time before its first byte is read.
func Listen(address netip.AddrPort, limit int, cost time.Duration) (*Listener, error) {
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("socket: listen: %w", err)
	}
	return &Listener{
		address:  inner.Addr().(*net.TCPAddr).AddrPort(),
		limit:    limit,
		cost:     cost,
		inner:    inner,
		reopened: make(chan struct{}),
		conns:    make(map[*Conn]struct{}),
	}, nil
}

// Accept returns the next connection. While connections are refused it waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.current()
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

// current returns the open listener, waiting while there is none.
func (l *Listener) current() (net.Listener, error) {
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

// add registers a connection, or returns nil if there are too many.
func (l *Listener) add(c net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit+exempt {
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

// Refuse closes the listening socket, so that new connections are refused. Existing ones go on.
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
	l.wake()
	return nil
}

// wake ends the wait of Accept; the caller holds the lock.
func (l *Listener) wake() {
	close(l.reopened)
	l.reopened = make(chan struct{})
}

// Silence makes all existing connections but those of control requests silent for good:
// what arrives is discarded, what is written is lost. It returns their number.
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

// Counts returns how many connections are open, were open at most and were dropped above the limit.
func (l *Listener) Counts() (open, peak, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.peak, l.dropped
}

// Close stops accepting.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.wake()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr returns the address with the real port.
func (l *Listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
