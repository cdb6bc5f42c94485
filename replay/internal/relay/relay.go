// Package relay passes TCP connections between VMs and can interrupt them as a
// network partition does.
//
// A VM is known by its IP address, so each needs a loopback address of its own from
// which it opens its connections. While two VMs are cut off from each other, bytes
// between them are dropped, ends of connections are not told, and new connections
// are held without an answer. A connection that has lost bytes stays silent after
// the cut is healed, because the rest of its bytes would make no sense; held
// connections go on.
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

// Relay passes connections to the targets it was opened for.
type Relay struct {
	mu        sync.Mutex
	cuts      map[route]chan struct{}
	listeners []net.Listener
	links     map[*link]bool
	closed    bool
	running   sync.WaitGroup
}

// New returns a relay without targets.
func New() *Relay {
	return &Relay{cuts: make(map[route]chan struct{}), links: make(map[*link]bool)}
}

// Open returns an address whose connections are passed to the target.
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

// accept passes connections until the listener is closed.
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
		k := &link{relay: r, route: between(source.Addr(), target.Addr()), target: target, source: c}
		if r.add(k) {
			r.running.Go(k.run)
		}
	}
}

// add registers a connection; it closes it and returns false if the relay is closed.
func (r *Relay) add(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = k.source.Close()
		return false
	}
	r.links[k] = true
	return true
}

func (r *Relay) remove(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
}

// Cut cuts two VMs off from each other.
func (r *Relay) Cut(a, b netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := between(a, b); r.cuts[p] == nil {
		r.cuts[p] = make(chan struct{})
	}
}

// Heal ends the cut between two VMs.
func (r *Relay) Heal(a, b netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := between(a, b)
	if healed := r.cuts[p]; healed != nil {
		close(healed)
		delete(r.cuts, p)
	}
}

// Silence drops all further bytes of the connections that are open between two VMs; new ones work.
func (r *Relay) Silence(a, b netip.Addr) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for k := range r.links {
		if k.route == between(a, b) && !k.silent {
			k.silent = true
			n++
		}
	}
	return n
}

// Close closes all listeners and connections and waits until they are gone.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	var problems []error
	for _, l := range r.listeners {
		problems = append(problems, l.Close())
	}
	for k := range r.links {
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
