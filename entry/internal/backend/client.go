// Package backend speaks HTTP to one backend server.
//
// A connection carries one request at a time, no request is ever sent twice, and every
// error says whether the server can have run the request. The Transport of net/http is
// not used because it retries some requests on its own and does not tell whether any part
// of a request was sent.
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
//	heldUntil, err := c.Grant(ctx, fence, revision, shards, leaseDeadline)
//	err = c.Probe(ctx)
package backend

import (
	"context"
	"net/netip"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// maxParallelDials is the maximum number of connections that are being opened at the same time.
	maxParallelDials = 2
	// reservedConnections is the number of connections reserved for one grant and one probe.
	reservedConnections = 2
	// dialTimeout is the time after which opening a connection fails.
	dialTimeout = 200 * time.Millisecond
)

// Client sends requests to one backend server.
type Client struct {
	address      string
	dialer       Dialer
	dialPermits  chan struct{}
	heads        *bodybudget.Budget
	requestPool  *pool
	grantPool    *pool
	probePool    *pool
	serverClock  serverClock
	grantExpiry  grantExpiry
	silenceWatch silenceWatch
}

// New returns a client that has at most the given number of connections open, which must
// be at least 3.
func New(address netip.AddrPort, connections int, d Dialer) *Client {
	c := &Client{address: address.String(), heads: bodybudget.New(maxHeadMemory), dialer: d, dialPermits: make(chan struct{}, maxParallelDials)}
	c.requestPool = newPool(c.dial, max(1, connections-reservedConnections))
	c.grantPool = newPool(c.dial, 1)
	c.probePool = newPool(c.dial, 1)
	c.probePool.singleUse = true
	c.silenceWatch.probeCtx, c.silenceWatch.cancelProbe = context.WithCancel(context.Background())
	c.silenceWatch.timer = time.AfterFunc(time.Hour, c.checkStalled)
	c.silenceWatch.timer.Stop()
	return c
}

// Do sends a request and returns the response as soon as its head, the status line and
// header fields, has arrived. Every error is an *Error. The caller must close the response's
// body. The request's body may be read until the response is complete or, if the exchange
// fails, until the read in progress returns.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	c.silenceWatch.schedule(silenceThreshold)
	return c.exchange(ctx, c.requestPool, keysPath, r)
}

// Counts returns the client's connection statistics.
func (c *Client) Counts() Counts {
	open, idle := c.requestPool.counts()
	return Counts{
		Open:   open,
		Idle:   idle,
		Dials:  c.requestPool.dials.Load() + c.grantPool.dials.Load(),
		Probes: c.probePool.dials.Load(),
		Silent: c.silenceWatch.closedCount.Load(),
	}
}

// Close closes the idle connections. Those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.silenceWatch.stop()
	c.requestPool.close()
	c.grantPool.close()
	c.probePool.close()
}
