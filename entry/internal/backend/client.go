// Package backend speaks HTTP to one backend server.
//
// Every request has a connection of its own while it is unanswered, nothing is
// ever sent a second time, and each failure says whether the server can have run
// the request. net/http's Transport is not used, because it repeats some requests
// by itself and does not tell how much of a request was sent.
//
// # Usage
//
//	c := backend.New(address, 120, &net.Dialer{})
//	defer c.Close()
//	response, err := c.Do(ctx, &backend.Request{Method: "GET", Key: key, Fence: fence, Shard: shard})
//	if err != nil {
//		return backend.OutcomeOf(err)
//	}
//	defer response.Body.Close()
//	_, err = io.Copy(w, response.Body) // The request ran if this ends without an error.
//
//	held, err := c.Grant(ctx, fence, revision, shards, leaseDeadline)
//	err = c.Probe(ctx)
package backend

import (
	"context"
	"net/netip"
	"time"
)

const (
	// parallelDials bounds the connections that are opened at the same time.
	parallelDials = 2
	// reserved is the number of connections kept for a grant and a probe.
	reserved = 2
	// dialTimeout is the time after which a connection counts as one that cannot be opened.
	dialTimeout = 200 * time.Millisecond
)

// Client sends requests to one backend server.
type Client struct {
	address  string
	dialer   Dialer
	permits  chan struct{}
	requests *pool
	grants   *pool
	probes   *pool
	clock    clock
	held     held
	silence  silence
}

// New returns a client that keeps at most the given number of connections, at least 3, open.
func New(address netip.AddrPort, connections int, d Dialer) *Client {
	c := &Client{address: address.String(), dialer: d, permits: make(chan struct{}, parallelDials)}
	c.requests = newPool(c.dial, max(1, connections-reserved))
	c.grants = newPool(c.dial, 1)
	c.probes = newPool(c.dial, 1)
	c.probes.single = true
	c.silence.stopping, c.silence.stop = context.WithCancel(context.Background())
	c.silence.timer = time.AfterFunc(time.Hour, c.watch)
	c.silence.timer.Stop()
	return c
}

// Do sends a request and returns the answer as soon as its head has arrived.
// Every error is an *Error. The caller must close the response's body. Do reads
// the request's body until the answer is complete or the read that is under way
// when the exchange fails has returned.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	c.silence.arm(silentAfter)
	return c.exchange(ctx, c.requests, pathKeys, r)
}

// Counts returns the numbers of the client's connections and events.
func (c *Client) Counts() Counts {
	open, idle := c.requests.counts()
	return Counts{
		Open:   open,
		Idle:   idle,
		Dials:  c.requests.dials.Load() + c.grants.dials.Load(),
		Probes: c.probes.dials.Load(),
		Silent: c.silence.closed.Load(),
	}
}

// Close closes idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.silence.end()
	c.requests.close()
	c.grants.close()
	c.probes.close()
}
