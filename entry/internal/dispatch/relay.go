package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
)

const (
	// maxRelays is the number of attempts to send a call through other processes.
	maxRelays = 2
	// cutOffGrace is how long a request that can't be sent again still waits for its response after the
	// process was found to be cut off from its servers.
	cutOffGrace = 700 * time.Millisecond
)

// errCutOff is the cause with which a request is given up because the process reaches no server.
var errCutOff = eris.New("dispatch: the process is cut off from the servers")

// Relay sends calls through other entry processes.
type Relay interface {
	// Available reports whether another process may reach a server.
	Available(now time.Time, s registry.Server) bool
	// Do sends a call through another process, which may send it to the given number of servers. It
	// returns nil if no process has accepted the call.
	Do(ctx context.Context, c *Call, s registry.Server, attempts int) *Result
}

// DoRelayed returns the final response to a call that another entry process has received from its client
// and relays to this one. It is never relayed again. The other process has deposited for its first attempt.
func (d *Dispatcher) DoRelayed(ctx context.Context, c *Call) *Result {
	return d.do(ctx, c, true)
}

// CheckReach returns an empty reason if requests to a server of a service may be sent by this process now,
// CutOff if it reaches no server of the service, and otherwise Unreachable or HeldOff.
func (d *Dispatcher) CheckReach(now time.Time, service string, inst registry.Instance) Reason {
	if d.reachability.CutOffFrom(service) {
		return CutOff
	}
	if d.reachability.Unreached(now, registry.Server{Instance: inst, Service: service}) {
		return Unreachable
	}
	if _, held := d.statements.HeldUntil(now, inst); held {
		return HeldOff
	}
	if b := d.backends.find(inst); b != nil {
		if _, inBackoff := b.backoff(now); inBackoff {
			return Unreachable
		}
	}
	return ""
}

// canRelay reports whether a call may be sent to a server through another process, because this one doesn't
// reach it or the server takes no requests from it.
func (d *Dispatcher) canRelay(now time.Time, p *progress, s registry.Server) bool {
	if p.relayed || p.relays >= maxRelays {
		return false
	}
	_, held := d.statements.HeldUntil(now, s.Instance)
	return (held || d.reachability.Unreached(now, s)) && d.relay.Available(now, s)
}

// attemptThroughPeer sends the call to a server through another process; retry tells whether another attempt
// may succeed.
func (d *Dispatcher) attemptThroughPeer(ctx context.Context, p *progress, b *backend) (r *Result, retry bool) {
	c := p.call
	p.relays++
	c.SetPhase(AwaitsResponse, b.server.ID)
	requestCtx, cancel := d.withRequest(ctx, c)
	defer cancel()
	r = d.relay.Do(requestCtx, c, b.server, c.Route.Attempts-p.attempts)
	if r == nil || r.Reason == HeldOff && r.Attempts == 0 {
		if requestCtx.Err() != nil {
			return d.contextDone(requestCtx, p), false
		}
		// If this process can't send to the server either, the next selection refuses the call with the time
		// that it knows.
		p.relays = maxRelays
		p.tried[b.server.Instance] = true
		return refusedResult(Unreachable, time.Now().Add(refusalRetryDelay), nil), true
	}
	p.attempts += r.Attempts
	if r.Server != "" {
		p.server = r.Server
	}
	p.peer = r.Peer
	p.steps[len(p.steps)-1].Peer = r.Peer
	if r.Response != nil {
		d.observeRelayed(time.Now(), r)
		return r, false
	}
	if requestCtx.Err() != nil {
		return d.contextDone(requestCtx, p), false
	}
	return p.finalResult(r), r.Attempts > 0 && c.Route.Kind.Retryable() && p.attempts < c.Route.Attempts
}

// withCutOff gives up a request to a server when the process is found to be cut off, so that its slot is
// returned. A request that may be sent again is given up at once, another one only if connections hang: a
// server that only answers late may still run it. One that is sent while the process is cut
// off goes on: no other process could take it.
func (d *Dispatcher) withCutOff(ctx context.Context, p *progress) (context.Context, context.CancelFunc) {
	c := p.call
	connected := d.reachability.Connected(c.Service)
	if connected.Err() != nil {
		return ctx, func() {}
	}
	resendable := c.Route.Kind.Retryable() && p.attempts+1 < c.Route.Attempts
	requestCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(connected, func() {
		if resendable {
			cancel(errCutOff)
			return
		}
		time.AfterFunc(cutOffGrace, func() {
			if d.reachability.Hanging(c.Service) {
				cancel(errCutOff)
			}
		})
	})
	return requestCtx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// isCutOff reports whether a context for a request has ended because the process is cut off.
func isCutOff(requestCtx context.Context) bool {
	return errors.Is(context.Cause(requestCtx), errCutOff)
}
