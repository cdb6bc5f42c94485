// Package dispatch sends client requests to backend servers and returns a final response for
// each.
//
// A request to a sharded service goes to the one server that owns its key. While the key is moving,
// the request waits for the new owner. For other services a Placer selects the server with its slot,
// by what all processes know; without one, the server with the lowest expected response time that this
// process has seen is selected. Servers of other data centres have a penalty, because the transfer of
// a body between data centres has a price. A request is sent again only if it can't have run or is
// idempotent, within the attempts of its route and the retry budget of the service.
//
// # Usage
//
//	d := dispatch.New(view, limiter, budgets, dialer, fields, dataCentre, observer, crashTracker, reachability, relay, statements)
//	result := d.Do(ctx, call)
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/view"
)

const (
	// maxOwnerWait bounds the wait for the new owner of a moving key; a move takes as long as
	// the running requests of the old owner.
	maxOwnerWait = 700 * time.Millisecond
	// misdirectedWait bounds the wait for a new ownership table after a server has refused a
	// request with 421 because it does not hold the key.
	misdirectedWait = 250 * time.Millisecond
	// responseMargin is the time between the deadline given to the server and that of the
	// client, so that a response which the server sends at its deadline still arrives.
	responseMargin = 25 * time.Millisecond
	// remotePenalty is the expected time by which a server of another data centre must be faster.
	remotePenalty = 40 * time.Millisecond
	// remoteLargePenalty is the same for bodies above largeBody bytes, whose transfer between
	// data centres costs about half of what such a request is worth.
	remoteLargePenalty = 250 * time.Millisecond
	largeBody          = 16 << 10
	// refusalRetryDelay is the time after which a client may try again when all servers were
	// unreachable or had no slot.
	refusalRetryDelay = 200 * time.Millisecond
	// limitMoveTime is the time in which keys move away from a server that gets more requests than it
	// takes: the load must be reported, a plan made, stored and carried out.
	limitMoveTime = time.Second
)

// Budgets limits how often the requests of a service are sent again.
type Budgets interface {
	// Deposit adds to the budget of a service for the first attempt of a request.
	Deposit(now time.Time, service string)
	// Withdraw takes one retry from the budget; it returns false if none is left.
	Withdraw(now time.Time, service string) bool
}

// Observer receives the outcome of each attempt to send a call to a server.
type Observer interface {
	// AttemptEnded is called when the attempt has ended, also if it failed.
	AttemptEnded(o Observation)
}

// Observation describes one attempt to send a call to a server.
type Observation struct {
	Call   *Call
	Server registry.Server
	// Service is the time that the server took, or zero if it did not run the request to its end.
	Service time.Duration
	// Ran is true if the server has run the request to its end.
	Ran bool
}

// CrashTracker detects requests that crash the servers which run them.
type CrashTracker interface {
	// IsBlocked reports whether the request must be refused.
	IsBlocked(now time.Time, f suspect.Fingerprint) bool
	// RecordCrash records that a server crashed while it ran the request, and RecordResponse
	// that a server has answered it.
	RecordCrash(now time.Time, f suspect.Fingerprint, s registry.Instance)
	RecordResponse(now time.Time, f suspect.Fingerprint)
}

// Reachability records which servers this process reaches and tells whether it reaches them.
type Reachability interface {
	// RequestSent records that a request is sent to a server; the returned function records its end.
	RequestSent(now time.Time, s registry.Server) (ended func())
	// RecordReached records an answer on a new connection, RecordAnswer one on a connection that was open,
	// RecordUnreached that no connection could be opened, and RecordReset that a new connection
	// ended without a byte of an answer.
	RecordReached(now time.Time, s registry.Server)
	RecordAnswer(now time.Time, s registry.Server)
	RecordUnreached(now time.Time, s registry.Server)
	RecordReset(now time.Time, s registry.Server)
	// Unreached reports whether new connections to a server fail, and CutOffFrom whether those to all
	// servers of a service do.
	Unreached(now time.Time, s registry.Server) bool
	CutOffFrom(service string) bool
	// Connected returns a context that ends when the process is found to be cut off from a service, and
	// Hanging reports whether it is because connections can't be opened.
	Connected(service string) context.Context
	Hanging(service string) bool
}

// Statements receives what servers state about themselves in their responses.
type Statements interface {
	// ObserveLeaving records that a server has stated that it leaves.
	ObserveLeaving(now time.Time, inst registry.Instance)
	// ObserveEnded records that another server has answered at the address of a server.
	ObserveEnded(now time.Time, inst registry.Instance, other string)
	// HoldOff records that a server takes no requests from this process until a time, and HeldUntil returns
	// the time, or false if the server takes them.
	HoldOff(now time.Time, inst registry.Instance, until time.Time)
	HeldUntil(now time.Time, inst registry.Instance) (time.Time, bool)
	// ObserveInvalid records a statement that can't be used.
	ObserveInvalid(now time.Time, inst registry.Instance, err error)
}

// Dispatcher sends requests to servers. It is safe for concurrent use.
type Dispatcher struct {
	view         *view.View
	limiter      Limiter
	budgets      Budgets
	backends     *backends
	dataCentre   string
	observer     Observer
	crashTracker CrashTracker
	reachability Reachability
	statements   Statements
	relay        Relay
	// processes is the number of entry processes.
	processes atomic.Int64
	// shutdown is nil while the process does not stop.
	shutdown atomic.Pointer[Shutdown]
	// stopping ends when a shutdown begins.
	stopping  context.Context
	beginStop context.CancelFunc
	durations *durations
	// requests ends when a shutdown gives up the requests at servers.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns a dispatcher for a process in the given data centre.
func New(v *view.View, l Limiter, b Budgets, d origin.Dialer, f origin.HeaderFields, dataCentre string, o Observer, c CrashTracker, reach Reachability, r Relay, s Statements) *Dispatcher {
	stopping, beginStop := context.WithCancel(context.Background())
	requests, endRequests := context.WithCancelCause(context.Background())
	return &Dispatcher{
		view: v, limiter: l, budgets: b, backends: newBackends(d, f), dataCentre: dataCentre, observer: o, crashTracker: c, reachability: reach, relay: r, statements: s,
		stopping: stopping, beginStop: beginStop, durations: newDurations(), requests: requests, endRequests: endRequests,
	}
}

// SetProcesses sets the number of entry processes, which share the connections of the servers.
func (d *Dispatcher) SetProcesses(n int) { d.processes.Store(int64(n)) }

// progress is the state of a call between its attempts.
type progress struct {
	call *Call
	// arrived is when the call was complete, with its body.
	arrived time.Time
	// attempts is the number of times that the request may have reached a server.
	attempts int
	// tried holds the servers that are not selected again for this call.
	tried map[registry.Instance]bool
	// sent holds the servers that the request has been sent to.
	sent map[registry.Instance]bool
	// fallback is the result if no further attempt succeeds.
	fallback *Result
	// overLimit is the refusal of the server that takes another request first, of those that were
	// refused because of a request limit.
	overLimit *Result
	// full is true if a server had no slot.
	full bool
	// relayed is true if another entry process has relayed the call to this one, and relays the number of
	// attempts to send the call through another process; peer is the last of these.
	relayed bool
	relays  int
	peer    string
	// server is the last server that the request was sent to.
	server      string
	fingerprint suspect.Fingerprint
	steps       []Step
	// tableRevision is the revision of the ownership table that the owner was last looked up in.
	tableRevision uint64
	// ownerWait is the time that the call has waited for an owner of its key.
	ownerWait time.Duration
	// slot is the slot of the selected server if both were selected together, and placementWait the time that
	// it took.
	slot          Slot
	placementWait time.Duration
}

// Do returns the final response to a call.
func (d *Dispatcher) Do(ctx context.Context, c *Call) *Result {
	return d.do(ctx, c, false)
}

// do returns the final response to a call, which another entry process may have relayed.
func (d *Dispatcher) do(ctx context.Context, c *Call, relayed bool) *Result {
	f := suspect.Of(c.Service, c.Target, c.Method, c.Host, c.Body)
	if d.crashTracker.IsBlocked(c.Arrived, f) {
		return refusedResult(CrashesServers, time.Time{}, nil)
	}
	if !relayed {
		d.budgets.Deposit(c.Arrived, c.Service)
	}
	p := &progress{call: c, arrived: time.Now(), relayed: relayed, tried: make(map[registry.Instance]bool), sent: make(map[registry.Instance]bool), fingerprint: f}
	waitCtx, cancel := d.withWaits(ctx, p)
	defer cancel()
	r := d.tryServers(ctx, waitCtx, p)
	if r.Response != nil && r.Response.Limit.Named {
		r.Limit = requestlimit.Limit{PerSecond: r.Response.Limit.PerSecond, InForce: true, HeardAt: time.Now()}
	}
	r.Attempts, r.Server, r.Peer, r.Steps, r.TableRevision, r.OwnerWait = p.attempts, p.server, p.peer, p.steps, p.tableRevision, p.ownerWait
	return r
}

// tryServers makes attempts until one gives a final result or no further attempt is allowed. The
// waits for owners and slots end with waitCtx.
func (d *Dispatcher) tryServers(ctx, waitCtx context.Context, p *progress) *Result {
	for {
		if refusal := d.startRefused(waitCtx, p); refusal != nil {
			return refusal
		}
		p.call.SetPhase(AwaitsOwner, "")
		b, refusal := d.selectBackend(waitCtx, p)
		if refusal != nil {
			if p.overLimit != nil && !p.full && refusal.Reason == NoServer {
				refusal = p.overLimit
			}
			return p.finalResult(refusal)
		}
		begin := time.Now()
		p.steps = append(p.steps, Step{Server: b.server.ID, Waited: p.placementWait})
		var result *Result
		var retry bool
		if p.slot == nil && d.canRelay(begin, p, b.server) {
			result, retry = d.attemptThroughPeer(ctx, p, b)
		} else {
			result, retry = d.attempt(ctx, waitCtx, p, b)
		}
		step := &p.steps[len(p.steps)-1]
		step.Reason, step.Took = result.Reason, time.Since(begin)-step.Waited+p.placementWait
		switch {
		case !retry && result.Response != nil:
			return result
		case !retry:
			return p.finalResult(result)
		}
		p.fallback = p.finalResult(result)
		if ctx.Err() != nil || p.attempts >= p.call.Route.Attempts {
			return p.fallback
		}
		if p.attempts > 0 && !d.budgets.Withdraw(time.Now(), p.call.Service) {
			return p.fallback
		}
	}
}

// finalResult returns the result of a call whose last attempt ended with r. If an earlier attempt
// may have run the request, that result stays, because a later refusal doesn't undo the run. A
// server that has answered has run the request, whatever the status is.
func (p *progress) finalResult(r *Result) *Result {
	if f := p.fallback; f != nil && (f.Response != nil || f.Status != http.StatusServiceUnavailable) {
		return f
	}
	return r
}

// attempt sends the request to a server; retry tells whether another attempt may succeed.
func (d *Dispatcher) attempt(ctx, waitCtx context.Context, p *progress, b *backend) (r *Result, retry bool) {
	c := p.call
	slot := p.slot
	p.slot = nil
	var err error
	if slot == nil {
		c.SetPhase(AwaitsSlot, b.server.ID)
		requested := time.Now()
		slot, err = d.limiter.Acquire(waitCtx, d.slotRequest(c, b.server))
		p.steps[len(p.steps)-1].Waited = time.Since(requested)
	}
	if err != nil {
		return d.handleNoSlot(waitCtx, p, b, err)
	}
	if !d.isUsable(c, b) {
		slot.Release(Outcome{})
		return refusedResult(NoOwner, time.Now().Add(refusalRetryDelay), nil), true
	}
	if refusal := d.startRefused(waitCtx, p); refusal != nil {
		slot.Release(Outcome{})
		return refusal, false
	}
	begin := time.Now()
	if d.canRelay(begin, p, b.server) {
		slot.Release(Outcome{})
		return refusedResult(Unreachable, begin.Add(refusalRetryDelay), nil), true
	}
	if until, held := d.statements.HeldUntil(begin, b.server.Instance); held {
		slot.Release(Outcome{})
		return heldResult(c, until), true
	}
	b.requestStarted()
	ended := d.reachability.RequestSent(begin, b.server)
	p.server = b.server.ID
	c.SetPhase(AwaitsResponse, b.server.ID)
	boundedCtx, cancel := d.withRequest(ctx, c)
	defer cancel()
	requestCtx, stop := d.withCutOff(boundedCtx, p)
	defer stop()
	response, err := b.client.Do(requestCtx, &origin.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body, HasBody: c.HasBody,
		ID: c.ID, Server: b.server.ID, Deadline: c.Deadline.Add(-responseMargin), Fresh: !c.Route.Kind.Retryable(),
		Repeated: p.sent[b.server.Instance], Memory: c.Memory,
	})
	p.sent[b.server.Instance] = true
	ended()
	now := time.Now()
	serviceTime := now.Sub(begin)
	failure, _ := errors.AsType[*origin.Error](err)
	d.recordReachability(requestCtx, now, b, response, failure)
	b.requestEnded(now, serviceTime, failure == nil || failure.Sent)
	d.observeStatements(now, b.server.Instance, response)
	ran := err == nil && !response.NotRun
	if ran {
		d.durations.record(now, c, serviceTime)
	} else {
		serviceTime = 0
	}
	slot.Release(outcome(serviceTime, response, failure, requestCtx.Err() != nil))
	if failure == nil || failure.Sent {
		p.attempts++
	}
	d.observer.AttemptEnded(Observation{Call: c, Server: b.server, Service: serviceTime, Ran: ran})
	if err != nil {
		return d.handleFailure(requestCtx, p, b, failure)
	}
	return d.handleResponse(waitCtx, p, b, response)
}

// recordReachability records what an attempt has shown about the network between this process and a server.
// A failure shows nothing if the request was given up, or if the server closed a connection that was open
// before.
func (d *Dispatcher) recordReachability(ctx context.Context, now time.Time, b *backend, r *origin.Response, f *origin.Error) {
	switch {
	case r != nil && !r.Reused:
		d.reachability.RecordReached(now, b.server)
	case r != nil || f.Sent && !f.Unanswered:
		d.reachability.RecordAnswer(now, b.server)
	case ctx.Err() != nil:
	case f.Unreachable, errors.Is(f.Cause, syscall.ETIMEDOUT):
		d.reachability.RecordUnreached(now, b.server)
	case f.Sent && !f.Reused:
		d.reachability.RecordReset(now, b.server)
	}
}

// handleNoSlot returns the result of an attempt that got no slot in time. If the service is not
// sharded, another server may have a slot. If it is, the coordinator moves keys away from a server that
// limits its requests, which may be sooner than the server takes another one.
func (d *Dispatcher) handleNoSlot(ctx context.Context, p *progress, b *backend, err error) (*Result, bool) {
	if ctx.Err() != nil {
		return d.contextDone(ctx, p), false
	}
	p.tried[b.server.Instance] = true
	result := refusedResult(NoSlot, time.Now().Add(refusalRetryDelay), err)
	refusal, ok := errors.AsType[*RefusalError](err)
	if ok {
		result.RetryAt = refusal.RetryAt
	}
	if ok && refusal.OverLimit {
		result.Reason, result.Limit = OverLimit, refusal.Limit
		if d.isSharded(p.call) {
			result.RetryAt = earlier(refusal.RetryAt, time.Now().Add(limitMoveTime))
		}
		if p.overLimit == nil || result.RetryAt.Before(p.overLimit.RetryAt) {
			p.overLimit = result
		}
	}
	p.full = p.full || result.Reason == NoSlot
	return result, !d.isSharded(p.call)
}

// contextDone returns the result of a call whose deadline has passed, whose client has disconnected or
// that a shutdown has prevented from being sent to a server or has given up.
func (d *Dispatcher) contextDone(ctx context.Context, p *progress) *Result {
	if isShutdown(ctx) || isGivenUp(ctx) && p.attempts == 0 {
		return p.finalResult(stoppingResult())
	}
	reason := ClientDisconnected
	switch {
	case isGivenUp(ctx):
		reason = GivenUp
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		reason = DeadlineExceeded
	}
	if p.attempts == 0 {
		return p.finalResult(refusedResult(reason, time.Time{}, context.Cause(ctx)))
	}
	return p.finalResult(unknownResult(http.StatusGatewayTimeout, reason, context.Cause(ctx)))
}

// handleFailure returns the result of an attempt without a usable response.
func (d *Dispatcher) handleFailure(ctx context.Context, p *progress, b *backend, f *origin.Error) (*Result, bool) {
	if !f.Sent {
		p.tried[b.server.Instance] = true
		if ctx.Err() != nil && !isCutOff(ctx) {
			return d.contextDone(ctx, p), false
		}
		now := time.Now()
		retryAt := now.Add(refusalRetryDelay)
		if d.isSharded(p.call) {
			retryAt = b.keysReturn(retryAt)
		}
		return refusedResult(Unreachable, retryAt, f), !d.isSharded(p.call) || d.canRelay(now, p, b.server)
	}
	if isCutOff(ctx) {
		return unknownResult(http.StatusBadGateway, CutOff, f), p.call.Route.Kind.Retryable()
	}
	if ctx.Err() != nil {
		return d.contextDone(ctx, p), false
	}
	p.tried[b.server.Instance] = true
	if b.client.ConnectionRefused(ctx) {
		// The connection broke and nothing listens on the port any more: the server has crashed.
		d.crashTracker.RecordCrash(time.Now(), p.fingerprint, b.server.Instance)
	}
	return unknownResult(http.StatusBadGateway, UnusableResponse, f), p.call.Route.Kind.Retryable()
}

// handleResponse returns the result of an attempt that a server has answered.
func (d *Dispatcher) handleResponse(ctx context.Context, p *progress, b *backend, r *origin.Response) (*Result, bool) {
	if r.NotRun {
		p.tried[b.server.Instance] = true
		result := refusedResult(NotRun, time.Now().Add(refusalRetryDelay), nil)
		if r.Status == http.StatusMisdirectedRequest && r.OtherServer == "" && d.isSharded(p.call) {
			delete(p.tried, b.server.Instance)
			d.awaitChange(ctx, misdirectedWait)
		}
		return result, true
	}
	if !r.HasServerProof || r.Header.Get("Content-Encoding") != "" {
		return unknownResult(http.StatusBadGateway, UnusableResponse, errUnverifiedResponse), p.call.Route.Kind.Retryable()
	}
	p.tried[b.server.Instance] = true
	d.crashTracker.RecordResponse(time.Now(), p.fingerprint)
	if r.Status >= http.StatusInternalServerError && p.call.Route.Kind.Retryable() && time.Now().Before(p.call.objective()) {
		return &Result{Response: r, Status: r.Status, Reason: Answered}, true
	}
	return &Result{Response: r, Status: r.Status, Reason: Answered}, false
}
