package relay

import (
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds connecting to a target, which is on loopback.
	dialTimeout = time.Second
	// bufferBytes is the size of the pieces in which bytes are passed.
	bufferBytes = 32 << 10
)

// link is one connection through the relay.
type link struct {
	relay  *Relay
	route  route
	target netip.AddrPort
	source net.Conn

	// The relay's lock guards the fields below.
	server net.Conn
	// silent says that bytes have been dropped, so that nothing is passed any more.
	silent bool
	ended  bool
}

// run passes bytes until both ends are gone.
func (k *link) run() {
	defer k.relay.remove(k)
	defer k.source.Close()
	early, alive := k.hold()
	if !alive {
		return
	}
	server, err := net.DialTimeout("tcp", k.target.String(), dialTimeout)
	if err != nil || !k.connect(server) {
		return
	}
	defer server.Close()
	if len(early) > 0 {
		if _, err := server.Write(early); err != nil {
			return
		}
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		k.pass(k.source, server)
	}()
	k.pass(server, k.source)
	<-answered
}

// connect keeps the connection to the target, unless the relay is closed.
func (k *link) connect(server net.Conn) bool {
	k.relay.mu.Lock()
	defer k.relay.mu.Unlock()
	if k.ended {
		_ = server.Close()
		return false
	}
	k.server = server
	return true
}

// close ends both connections; the caller holds the relay's lock.
func (k *link) close() {
	k.ended = true
	_ = k.source.Close()
	if k.server != nil {
		_ = k.server.Close()
	}
}

// hold waits until the VMs are not cut off from each other. It returns what the source has
// sent meanwhile, and false if the source has gone: then the target never hears of it.
func (k *link) hold() ([]byte, bool) {
	k.relay.mu.Lock()
	healed := k.relay.cuts[k.route]
	k.relay.mu.Unlock()
	if healed == nil {
		return nil, true
	}
	var early []byte
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		buffer := make([]byte, bufferBytes)
		for {
			n, err := k.source.Read(buffer)
			early = append(early, buffer[:n]...)
			if err != nil {
				return
			}
		}
	}()
	select {
	case <-gone:
		return nil, false
	case <-healed:
	}
	// A deadline in the past ends the read without losing bytes.
	_ = k.source.SetReadDeadline(time.Unix(1, 0))
	<-gone
	return early, k.source.SetReadDeadline(time.Time{}) == nil
}

// pass copies bytes until the sender ends. The end of a connection is passed on
// unless bytes have been dropped: then the receiver never hears of it.
func (k *link) pass(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !k.open() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// open reports whether bytes may pass; the first bytes that may not silence the connection for good.
func (k *link) open() bool {
	k.relay.mu.Lock()
	defer k.relay.mu.Unlock()
	if k.relay.cuts[k.route] != nil {
		k.silent = true
	}
	return !k.silent
}
