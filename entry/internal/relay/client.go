// Package relay sends calls to backend servers through other entry processes. A process that can't reach a
// server uses it, and the other process handles the call like one of its own clients: it takes a slot,
// observes the limits and the deadline, and stops when the sender cancels the call or is lost. It never
// relays the call again.
//
// A call must not be sent to a server twice. The other process gets the head first and accepts it, which
// shows that the connection works; then it gets the body. Until the last message with the body has been
// sent, the call can't have run, and another process may be tried. After that, only a refusal shows that
// it has not run.
//
// # Usage
//
//	client := relay.NewClient(self, members, connections, logger)
//	result := client.Do(ctx, call, server, attempts)
//
//	server := relay.NewServer(dispatcher, next, bodyBytes)
//	err := server.HandleRPC(stream, method)
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/rpc"
)

const (
	// acceptTimeout bounds the time until a process has accepted a call. Data centres are 1.5 ms apart.
	acceptTimeout = 250 * time.Millisecond
	// silenceTimeout is the time without a message after which the process that handles a call is given
	// up: three missed signs of life.
	silenceTimeout = 4 * aliveInterval
	// maxProcesses is the number of processes that a call is offered to.
	maxProcesses = 3
	// offerTime is the time after which a call is not offered to another process.
	offerTime = 300 * time.Millisecond
	// avoidTime is how long a process that has not accepted a call, or is itself cut off from a service, is
	// not used, and uselessTime how long calls for a server are not relayed after no process could reach it.
	avoidTime   = time.Second
	uselessTime = 300 * time.Millisecond
	// forgetTime is how long after that a process may be offered only one call until it accepts one.
	forgetTime = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 10 * time.Second
	// maxIdleConnections limits the unused connections to one process.
	maxIdleConnections = 4
)

var (
	errNotAccepted = eris.New("relay: the other process has not accepted the call in time")
	errSilent      = eris.New("relay: the other process has gone silent")
	errNoMemory    = eris.New("relay: no memory left for the response body, the bodies of other responses take it")
)

// Members lists the processes that are alive.
type Members interface {
	Members() []election.Member
	// CutOffMembers returns the names of those that reach no server.
	CutOffMembers() map[string]bool
}

// Connections opens connections to other processes.
type Connections interface {
	Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error)
}

// Client sends calls through other processes. It is safe for concurrent use.
type Client struct {
	self        election.Member
	members     Members
	connections Connections
	pool        *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	logger      log.Interface
	// sent counts the calls that another process has accepted, lost those of them without a result, and
	// refused the offers that were not accepted.
	sent, lost, refused atomic.Int64

	mu sync.Mutex
	// avoided has the processes that are not used, for a service or, if it is empty, at all, and useless the
	// servers for which calls are not relayed, each until a time.
	avoided map[use]time.Time
	useless map[registry.Instance]time.Time
}

// use is the use of a process for calls of a service.
type use struct{ process, service string }

// NewClient returns a client for the calls of this process.
func NewClient(self election.Member, m Members, c Connections, logger log.Interface) *Client {
	return &Client{
		self: self, members: m, connections: c, logger: logger,
		pool:    drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleConnections}),
		avoided: make(map[use]time.Time), useless: make(map[registry.Instance]time.Time),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if err := c.pool.Close(); err != nil {
		return fmt.Errorf("relay: close connections: %w", err)
	}
	return nil
}

// Counts returns the number of calls that another process has accepted, of those whose result was lost, and
// of offers that were not accepted.
func (c *Client) Counts() map[string]int64 {
	return map[string]int64{"sent": c.sent.Load(), "lost": c.lost.Load(), "refused": c.refused.Load()}
}

// Available implements dispatch.Relay.
func (c *Client) Available(now time.Time, s registry.Server) bool {
	c.mu.Lock()
	useless := now.Before(c.useless[s.Instance])
	c.mu.Unlock()
	return !useless && len(c.candidates(now, s)) > 0
}

// candidates returns the processes that may reach a server, the best first: those in its data centre, then
// those in that of this process, each in random order.
func (c *Client) candidates(now time.Time, s registry.Server) []election.Member {
	cutOff := c.members.CutOffMembers()
	members := slices.Clone(c.members.Members())
	c.mu.Lock()
	members = slices.DeleteFunc(members, func(m election.Member) bool {
		return m.Name == c.self.Name || cutOff[m.Name] || now.Before(c.avoided[use{m.Name, ""}]) || now.Before(c.avoided[use{m.Name, s.Service}])
	})
	c.mu.Unlock()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	slices.SortStableFunc(members, func(a, b election.Member) int {
		return cmp.Compare(c.distance(a, s), c.distance(b, s))
	})
	return members
}

func (c *Client) distance(m election.Member, s registry.Server) int {
	switch m.DataCentre {
	case s.DataCentre:
		return 0
	case c.self.DataCentre:
		return 1
	}
	return 2
}

// Do implements dispatch.Relay. It offers the call to up to maxProcesses processes in turn, until one sends
// it to a server or it may have been sent.
func (c *Client) Do(ctx context.Context, call *dispatch.Call, s registry.Server, attempts int) *dispatch.Result {
	var refusal *dispatch.Result
	begin := time.Now()
	candidates := c.candidates(begin, s)
	for _, m := range candidates[:min(len(candidates), maxProcesses)] {
		if time.Since(begin) > offerTime {
			break
		}
		if !c.try(m.Name) {
			continue
		}
		r, err := c.offer(ctx, m, call, s, attempts)
		if ctx.Err() != nil && r == nil {
			return refusal
		}
		if err != nil {
			c.refused.Add(1)
			c.logger.WithError(err).WithField("peer", m.Name).Info("call not accepted by another process")
			c.avoid(use{m.Name, ""})
			continue
		}
		c.accepted(m.Name)
		r.Peer = m.Name
		if !isElsewherePossible(r) {
			return r
		}
		refusal = r
		switch r.Reason {
		case dispatch.CutOff:
			c.avoid(use{m.Name, s.Service})
		case dispatch.Stopping:
			c.avoid(use{m.Name, ""})
		}
	}
	if refusal == nil || refusal.Reason == dispatch.Unreachable || refusal.Reason == dispatch.HeldOff {
		c.markUseless(time.Now(), s.Instance)
	}
	return refusal
}

// isElsewherePossible reports whether another process may serve a call that has not run: the refusal is about
// the process and not about the server.
func isElsewherePossible(r *dispatch.Result) bool {
	if r.Attempts > 0 || r.Status != http.StatusServiceUnavailable {
		return false
	}
	switch r.Reason {
	case dispatch.Unreachable, dispatch.CutOff, dispatch.HeldOff, dispatch.NoServer, dispatch.Stopping, dispatch.RelayFull:
		return true
	}
	return false
}

// avoid excludes a process from a use for a while.
func (c *Client) avoid(u use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for old, until := range c.avoided {
		// The end of an entry is looked at by try until the process has left.
		if now.Sub(until) > forgetTime {
			delete(c.avoided, old)
		}
	}
	c.avoided[u] = now.Add(avoidTime)
}

// try reports whether a call may be offered to a process. If the last one was not accepted, the process is
// avoided again while this one is offered, so that not all calls wait for a process that is lost.
func (c *Client) try(process string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, failed := c.avoided[use{process, ""}]
	if !failed {
		return true
	}
	now := time.Now()
	if now.Before(until) {
		return false
	}
	c.avoided[use{process, ""}] = now.Add(avoidTime)
	return true
}

// accepted records that a process has accepted or refused a call.
func (c *Client) accepted(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.avoided, use{process, ""})
}

// markUseless records that no process can send to a server.
func (c *Client) markUseless(now time.Time, inst registry.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old, until := range c.useless {
		if now.After(until) {
			delete(c.useless, old)
		}
	}
	c.useless[inst] = now.Add(uselessTime)
}

// offer sends a call to a process. An error means that it has not been sent to a server.
func (c *Client) offer(ctx context.Context, m election.Member, call *dispatch.Call, s registry.Server, attempts int) (*dispatch.Result, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	overdue := time.AfterFunc(acceptTimeout, func() { cancel(errNotAccepted) })
	defer overdue.Stop()
	stream, err := c.pool.Get(streamCtx, m.Address, c.connections.Dial).NewStream(streamCtx, method, rpc.Encoding{})
	if err != nil {
		return nil, fmt.Errorf("relay: open stream to %s: %w", m.Name, err)
	}
	defer stream.Close()
	if err := stream.MsgSend(encodeCall(time.Now(), call, s.Instance, attempts), rpc.Encoding{}); err != nil {
		return nil, fmt.Errorf("relay: send call to %s: %w", m.Name, err)
	}
	var w wireAnswer
	if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
		if errors.Is(context.Cause(streamCtx), errNotAccepted) {
			c.closeIdle(m.Address)
		}
		return nil, fmt.Errorf("relay: offer call to %s: %w", m.Name, err)
	}
	if answerKind(w.Kind) == ended {
		return decodeResult(time.Now(), &w), nil
	}
	overdue.Reset(silenceTimeout)
	r, err := c.awaitResult(stream, call, overdue)
	c.sent.Add(1)
	if err == nil {
		return r, nil
	}
	c.lost.Add(1)
	if errors.Is(context.Cause(streamCtx), errNotAccepted) {
		err = errSilent
		c.closeIdle(m.Address)
	}
	return lostResult(ctx, fmt.Errorf("relay: call at %s: %w", m.Name, err)), nil
}

// awaitResult sends the body of a call and receives the result. Each message puts off the end of the wait.
func (c *Client) awaitResult(stream drpc.Stream, call *dispatch.Call, overdue *time.Timer) (*dispatch.Result, error) {
	if err := rpc.SendBody(stream, call.Body); err != nil {
		return nil, err
	}
	for {
		var w wireAnswer
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			return nil, fmt.Errorf("relay: receive result: %w", err)
		}
		overdue.Reset(silenceTimeout)
		if answerKind(w.Kind) != ended {
			continue
		}
		r := decodeResult(time.Now(), &w)
		if r.Response == nil {
			return r, nil
		}
		if !call.Memory.Reserve(bodybudget.HeadSize(headBytes(w.Header)) + origin.CountedSize(w.BodyLength)) {
			return nil, errNoMemory
		}
		var err error
		r.Response.Body, err = rpc.ReceiveBody(stream, w.BodyLength)
		return r, err
	}
}

// lostResult returns the result of a call that another process has accepted and whose result is lost.
func lostResult(ctx context.Context, cause error) *dispatch.Result {
	r := &dispatch.Result{Status: http.StatusBadGateway, Reason: dispatch.PeerLost, Attempts: 1, Cause: cause}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		r.Status, r.Reason = http.StatusGatewayTimeout, dispatch.DeadlineExceeded
	}
	return r
}

// closeIdle closes the unused connections to a process that has gone silent; they are likely to be silent
// too.
func (c *Client) closeIdle(to netip.AddrPort) {
	for idle, ok := c.pool.Take(to); ok; idle, ok = c.pool.Take(to) {
		_ = idle.Close()
	}
}
