// Package responder simulates many idle backend servers in one process, so that the
// cost of many upstreams can be measured without a process for each.
//
// # Usage
//
//	r, err := responder.Start(420)
//	defer r.Close()
//	addresses := r.Addresses()
package responder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

// headTimeout is the longest time for reading the head of a request.
const headTimeout = 5 * time.Second

// Responder is a set of servers that accept every grant and answer every request
// immediately.
type Responder struct {
	server    *http.Server
	addresses []netip.AddrPort
	start     time.Time
	requests  atomic.Int64
}

// Start listens on n free loopback addresses.
func Start(n int) (*Responder, error) {
	r := &Responder{start: time.Now()}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: headTimeout}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(fmt.Errorf("responder: %w", err), r.Close())
		}
		r.addresses = append(r.addresses, netip.MustParseAddrPort(l.Addr().String()))
		// Serve ends with ErrServerClosed.
		go func() { _ = r.server.Serve(l) }()
	}
	return r, nil
}

// Addresses returns the addresses of the servers.
func (r *Responder) Addresses() []netip.AddrPort {
	return r.addresses
}

// Requests returns the number of requests so far, including grants and probes.
func (r *Responder) Requests() int64 {
	return r.requests.Load()
}

// Close closes all servers and their connections.
func (r *Responder) Close() error {
	return r.server.Close()
}

func (r *Responder) serve(w http.ResponseWriter, _ *http.Request) {
	r.requests.Add(1)
	w.Header().Set("Bramley-Clock", strconv.FormatInt(int64(time.Since(r.start)), 10))
	w.Header().Set("Bramley-Incarnation", "1")
	w.Header().Set("Bramley-Outcome", "ran")
	w.WriteHeader(http.StatusOK)
}
