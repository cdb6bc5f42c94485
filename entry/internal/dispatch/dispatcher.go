// Package dispatch brings a request to a backend server that may run it and returns a final
// answer.
//
// For a sharded service the one server that owns the key is asked. While the key moves, the
// request waits for the new owner. For other services the server is chosen by its expected
// time, servers of the own data centre first, because bodies that cross data centres cost.
// A request is sent again only if it can't have run or is idempotent, within the attempts of
// its route and the retry budget of the service.
//
// # Usage
//
//	d := dispatch.New(view, gate, budgets, dialer, fields, dataCentre, observer, suspects)
//	result := d.Do(ctx, call)
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/view"
)

const (
	// ownerWait is the longest time that a request waits for a key that is moving; a move takes
	// as long as the running requests of the old owner.
	ownerWait = 700 * time.Millisecond
	// disownedWait is how long a request waits for a change of the table after the owner has
	// refused it because it does not hold the key.
	disownedWait = 250 * time.Millisecond
	// answerMargin is the time between the end that the server is given and the final answer
	// to the client, so that a server's own answer at its deadline arrives.
	answerMargin = 25 * time.Millisecond
	// distance is the expected time that a server of another data centre must be better by.
	distance = 40 * time.Millisecond
	// bulkDistance is the same for bodies above bulkBody bytes, whose way between data centres costs
	// about half of what such a request is worth.
	bulkDistance = 250 * time.Millisecond
	bulkBody     = 16 << 10
	// refusedRetry is when a client may come back to servers that were all unreachable or full.
	refusedRetry = 200 * time.Millisecond
)

// Budgets bounds the requests that are sent again.
type Budgets interface {
	Earn(now time.Time, service string)
	Spend(now time.Time, service string) bool
}

// Observer is told of each request that a server has answered or failed.
type Observer interface {
	Served(o Observation)
}

// Observation is what one send has shown.
type Observation struct {
	Call    *Call
	Server  registry.Server
	Service time.Duration
	// Ran is true if the server has run the request to its end.
	Ran bool
}

// Suspects knows the requests that crash servers.
type Suspects interface {
	// Condemned reports whether a request is refused.
	Condemned(now time.Time, f suspect.Fingerprint) bool
	// Crashed notes that a server crashed while it had the request, and Answered that one answered it.
	Crashed(f suspect.Fingerprint, s registry.Life)
	Answered(f suspect.Fingerprint)
}

// Dispatcher sends requests to servers. It is safe for concurrent use.
type Dispatcher struct {
	view       *view.View
	gate       Gate
	budgets    Budgets
	targets    *targets
	dataCentre string
	observer   Observer
	suspects   Suspects
}

// New returns a dispatcher of a process in a data centre.
func New(v *view.View, g Gate, b Budgets, d origin.Dialer, f origin.Fields, dataCentre string, o Observer, s Suspects) *Dispatcher {
	return &Dispatcher{view: v, gate: g, budgets: b, targets: newTargets(d, f), dataCentre: dataCentre, observer: o, suspects: s}
}

// progress is the state of a call between its attempts.
type progress struct {
	call *Call
	// sent is the number of servers that got the request, and tried names them.
	sent  int
	tried map[registry.Life]bool
	// fallback is the answer if no further attempt succeeds.
	fallback    *Result
	server      string
	fingerprint suspect.Fingerprint
	steps       []Step
	// table is the revision of the table that the owner was last looked up in.
	table uint64
	held  time.Duration
}

// Do returns the final answer to a call.
func (d *Dispatcher) Do(ctx context.Context, c *Call) *Result {
	f := suspect.Of(c.Service, c.Target, c.Method, c.Host, c.Body)
	if d.suspects.Condemned(c.Arrived, f) {
		return refused(Suspect, time.Time{}, nil)
	}
	d.budgets.Earn(c.Arrived, c.Service)
	p := &progress{call: c, tried: make(map[registry.Life]bool), fingerprint: f}
	r := d.run(ctx, p)
	r.Attempts, r.Server, r.Steps, r.Table, r.Held = p.sent, p.server, p.steps, p.table, p.held
	return r
}

func (d *Dispatcher) run(ctx context.Context, p *progress) *Result {
	for {
		t, refusal := d.choose(ctx, p)
		if refusal != nil {
			return p.final(refusal)
		}
		begin := time.Now()
		p.steps = append(p.steps, Step{Server: t.server.ID})
		result, again := d.attempt(ctx, p, t)
		step := &p.steps[len(p.steps)-1]
		step.Reason, step.Took = result.Reason, time.Since(begin)-step.Waited
		if !again {
			return result
		}
		p.fallback = p.final(result)
		if ctx.Err() != nil || p.sent >= p.call.Route.Attempts {
			return p.fallback
		}
		if p.sent > 0 && !d.budgets.Spend(time.Now(), p.call.Service) {
			return p.fallback
		}
	}
}

// final returns the answer to a call whose latest attempt ended with r. Once a server may have
// run the request, a later refusal doesn't change that.
func (p *progress) final(r *Result) *Result {
	if p.fallback != nil && p.fallback.Status != http.StatusServiceUnavailable {
		return p.fallback
	}
	return r
}

// attempt sends the request to a server; again tells whether another attempt may help.
func (d *Dispatcher) attempt(ctx context.Context, p *progress, t *target) (r *Result, again bool) {
	c := p.call
	arrived := time.Now()
	slot, err := d.gate.Enter(ctx, c.admission(t.server))
	p.steps[len(p.steps)-1].Waited = time.Since(arrived)
	if err != nil {
		return d.notAdmitted(ctx, p, t, err)
	}
	if !d.isUsable(c, t) {
		slot.Leave(0)
		return refused(NoOwner, time.Now().Add(refusedRetry), nil), true
	}
	if ctx.Err() != nil {
		slot.Leave(0)
		return d.over(ctx, p), false
	}
	begin := time.Now()
	t.began()
	p.server = t.server.ID
	if !c.Route.Kind.Repeatable() {
		// A final action that has begun is not broken off because its client has left.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
		defer cancel()
		ctx = detached
	}
	response, err := t.client.Do(ctx, &origin.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body, HasBody: c.HasBody,
		ID: c.ID, Server: t.server.ID, Deadline: c.Deadline.Add(-answerMargin), Fresh: !c.Route.Kind.Repeatable(),
	})
	now := time.Now()
	service := now.Sub(begin)
	failure, _ := errors.AsType[*origin.Error](err)
	t.ended(now, service, failure == nil || failure.Sent)
	ran := err == nil && !response.NotRun
	if !ran {
		service = 0
	}
	slot.Leave(service)
	if failure == nil || failure.Sent {
		p.sent++
	}
	d.observer.Served(Observation{Call: c, Server: t.server, Service: service, Ran: ran})
	if err != nil {
		return d.failed(ctx, p, t, failure)
	}
	return d.answered(ctx, p, t, response)
}

// notAdmitted handles a gate that has no slot in time. Another server of an unsharded service
// may have one.
func (d *Dispatcher) notAdmitted(ctx context.Context, p *progress, t *target, err error) (*Result, bool) {
	if ctx.Err() != nil {
		return d.over(ctx, p), false
	}
	retryAt := time.Now().Add(refusedRetry)
	if refusal, ok := errors.AsType[*RefusalError](err); ok {
		retryAt = refusal.RetryAt
	}
	p.tried[t.server.Life] = true
	return refused(Full, retryAt, err), !d.sharded(p.call)
}

// over returns the answer when the client's time is over or the client has left.
func (d *Dispatcher) over(ctx context.Context, p *progress) *Result {
	reason := Late
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = Left
	}
	if p.sent == 0 {
		return p.final(refused(reason, time.Time{}, context.Cause(ctx)))
	}
	return p.final(unknown(http.StatusGatewayTimeout, reason, context.Cause(ctx)))
}

// failed handles a request without a usable answer.
func (d *Dispatcher) failed(ctx context.Context, p *progress, t *target, f *origin.Error) (*Result, bool) {
	if !f.Sent {
		p.tried[t.server.Life] = true
		if ctx.Err() != nil {
			return d.over(ctx, p), false
		}
		return refused(Unreachable, time.Now().Add(refusedRetry), f), !d.sharded(p.call)
	}
	if ctx.Err() != nil {
		return d.over(ctx, p), false
	}
	p.tried[t.server.Life] = true
	if t.client.Refused(ctx) {
		// The connection broke and nobody listens any more: the server has crashed.
		d.suspects.Crashed(p.fingerprint, t.server.Life)
	}
	return unknown(http.StatusBadGateway, Broken, f), p.call.Route.Kind.Repeatable()
}

// answered handles an answer of a server.
func (d *Dispatcher) answered(ctx context.Context, p *progress, t *target, r *origin.Response) (*Result, bool) {
	if r.NotRun {
		p.tried[t.server.Life] = true
		result := refused(NotRun, time.Now().Add(refusedRetry), nil)
		if r.Status == http.StatusMisdirectedRequest && d.sharded(p.call) {
			delete(p.tried, t.server.Life)
			d.awaitChange(ctx, disownedWait)
		}
		return result, true
	}
	if !r.Proved || r.Header.Get("Content-Encoding") != "" {
		return unknown(http.StatusBadGateway, Broken, errUnproved), p.call.Route.Kind.Repeatable()
	}
	p.tried[t.server.Life] = true
	d.suspects.Answered(p.fingerprint)
	if r.Status >= http.StatusInternalServerError && p.call.Route.Kind.Repeatable() && time.Now().Before(p.call.objective()) {
		return &Result{Response: r, Status: r.Status, Reason: Answered}, true
	}
	return &Result{Response: r, Status: r.Status, Reason: Answered}, false
}
