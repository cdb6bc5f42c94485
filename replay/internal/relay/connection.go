package relay

import (
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to a target, which is on the loopback interface.
	dialTimeout = time.Second
	// bufferBytes is the size of the buffer with which bytes are copied.
	bufferBytes = 32 << 10
)

// connection is one connection through the relay, from a source to a target.
type connection struct {
	relay      *Relay
	vmPair     vmPair
	target     netip.AddrPort
	sourceConn net.Conn

	// The relay's lock guards the fields below.
	targetConn net.Conn
	// silent is true once bytes have been dropped or must be dropped; nothing is forwarded after
	// that.
	silent bool
	closed bool
}

// run forwards bytes in both directions until both sides are closed.
func (k *connection) run() {
	defer k.relay.remove(k)
	defer k.sourceConn.Close()
	buffered, sourceOpen := k.awaitHeal()
	if !sourceOpen {
		return
	}
	targetConn, err := net.DialTimeout("tcp", k.target.String(), dialTimeout)
	if err != nil || !k.setTargetConn(targetConn) {
		return
	}
	defer targetConn.Close()
	if len(buffered) > 0 {
		if _, err := targetConn.Write(buffered); err != nil {
			return
		}
	}
	responsesForwarded := make(chan struct{})
	go func() {
		defer close(responsesForwarded)
		k.forward(k.sourceConn, targetConn)
	}()
	k.forward(targetConn, k.sourceConn)
	<-responsesForwarded
}

// setTargetConn stores the connection to the target. If the relay is closed, it closes the
// connection and returns false.
func (k *connection) setTargetConn(targetConn net.Conn) bool {
	k.relay.mu.Lock()
	defer k.relay.mu.Unlock()
	if k.closed {
		_ = targetConn.Close()
		return false
	}
	k.targetConn = targetConn
	return true
}

// close closes the connections to the source and to the target. The caller must hold the
// relay's lock.
func (k *connection) close() {
	k.closed = true
	_ = k.sourceConn.Close()
	if k.targetConn != nil {
		_ = k.targetConn.Close()
	}
}

// awaitHeal waits until the two VMs are not cut off from each other and returns the bytes
// that the source has sent meanwhile. It returns false if the source has closed the
// connection before that; the target is then never contacted.
func (k *connection) awaitHeal() ([]byte, bool) {
	k.relay.mu.Lock()
	healed := k.relay.cuts[k.vmPair]
	k.relay.mu.Unlock()
	if healed == nil {
		return nil, true
	}
	var buffered []byte
	sourceClosed := make(chan struct{})
	go func() {
		defer close(sourceClosed)
		buffer := make([]byte, bufferBytes)
		for {
			n, err := k.sourceConn.Read(buffer)
			buffered = append(buffered, buffer[:n]...)
			if err != nil {
				return
			}
		}
	}()
	select {
	case <-sourceClosed:
		return nil, false
	case <-healed:
	}
	// A deadline in the past interrupts the read without losing bytes.
	_ = k.sourceConn.SetReadDeadline(time.Unix(1, 0))
	<-sourceClosed
	return buffered, k.sourceConn.SetReadDeadline(time.Time{}) == nil
}

// forward copies bytes until the sender closes the connection. It then closes the receiver's
// side too, unless bytes have been dropped: a silent connection must look open to the receiver.
func (k *connection) forward(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !k.mayForward() {
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

// mayForward reports whether bytes may be forwarded. The first bytes that arrive during a cut
// silence the connection permanently.
func (k *connection) mayForward() bool {
	k.relay.mu.Lock()
	defer k.relay.mu.Unlock()
	if k.relay.cuts[k.vmPair] != nil {
		k.silent = true
	}
	return !k.silent
}
