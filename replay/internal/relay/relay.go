// Package relay forwards TCP connections between VMs and can interrupt them like a network
// partition.
//
// The relay identifies a VM by its IP address, so each VM needs its own loopback address from
// which it opens its connections. While two VMs are cut off from each other, the relay drops
// the bytes between them, does not propagate closed connections, and accepts new connections
// without contacting the target. A connection that has lost bytes stays silent after the cut
// is healed, because the remaining bytes would not be a valid stream. Connections that were
// opened during the cut continue after it, with the bytes that the source has sent meanwhile.
//
// # Usage
//
//	r := relay.New()
//	defer r.Close()
//	announced, err := r.Open(target)
//	r.Cut(source, target.Addr())
//	r.Heal(source, target.Addr())
package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Relay forwards connections to the targets that were registered with Open.
type Relay struct {
	mu sync.Mutex
	// cuts holds a channel for each pair of VMs that is cut off. The channel is closed
	// when the cut ends.
	cuts        map[vmPair]chan struct{}
	listeners   []net.Listener
	connections map[*connection]bool
	closed      bool
	running     sync.WaitGroup
}

// New returns a relay without targets.
func New() *Relay {
	return &Relay{cuts: make(map[vmPair]chan struct{}), connections: make(map[*connection]bool)}
}

// Open listens on a new loopback address whose connections are forwarded to the target.
func (r *Relay) Open(target netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("relay: listen for %s: %w", target, err)
	}
	address, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return netip.AddrPort{}, errors.Join(fmt.Errorf("relay: address for %s: %w", target, err), l.Close())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, l)
	r.running.Go(func() { r.accept(l, target) })
	return address, nil
}

// accept forwards the connections of a listener until it is closed.
func (r *Relay) accept(l net.Listener, target netip.AddrPort) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		source, err := netip.ParseAddrPort(c.RemoteAddr().String())
		if err != nil {
			_ = c.Close()
			continue
		}
		k := &connection{relay: r, vmPair: vmPairOf(source.Addr(), target.Addr()), target: target, sourceConn: c}
		if r.add(k) {
			r.running.Go(k.run)
		}
	}
}

// add registers a connection. If the relay is closed, it closes the connection and returns false.
func (r *Relay) add(k *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = k.sourceConn.Close()
		return false
	}
	r.connections[k] = true
	return true
}

// remove removes a connection that has ended from those that Close and Silence act on.
func (r *Relay) remove(k *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, k)
}

// Cut cuts off two VMs from each other until Heal.
func (r *Relay) Cut(a, b netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := vmPairOf(a, b); r.cuts[p] == nil {
		r.cuts[p] = make(chan struct{})
	}
}

// Heal ends the cut between two VMs.
func (r *Relay) Heal(a, b netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := vmPairOf(a, b)
	if healed := r.cuts[p]; healed != nil {
		close(healed)
		delete(r.cuts, p)
	}
}

// Silence drops all further bytes of the connections that are open between two VMs and
// returns their number. New connections work.
func (r *Relay) Silence(a, b netip.Addr) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for k := range r.connections {
		if k.vmPair == vmPairOf(a, b) && !k.silent {
			k.silent = true
			n++
		}
	}
	return n
}

// Close closes all listeners and connections and waits until their goroutines have ended.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	var problems []error
	for _, l := range r.listeners {
		problems = append(problems, l.Close())
	}
	for k := range r.connections {
		k.close()
	}
	for p, healed := range r.cuts {
		close(healed)
		delete(r.cuts, p)
	}
	r.mu.Unlock()
	r.running.Wait()
	if err := errors.Join(problems...); err != nil {
		return fmt.Errorf("relay: close: %w", err)
	}
	return nil
}
