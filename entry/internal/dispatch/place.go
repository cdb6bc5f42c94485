package dispatch

import (
	"context"
	"errors"
	"time"

	"bramleystand.org/common/registry"
)

// place selects a server of a service that is not sharded together with its slot, by what all processes know of
// the servers. It returns false if there is no process that can do so or no server that this process may use;
// the server is then selected by what this process knows.
func (d *Dispatcher) place(ctx context.Context, p *progress) (*backend, *Result, bool) {
	p.placementWait = 0
	placer, ok := d.limiter.(Placer)
	if !ok {
		return nil, nil, false
	}
	c := p.call
	begin := time.Now()
	servers := d.view.Servers()
	r := d.PlaceRequest(c)
	candidates := servers.Service(c.Service)
	for _, s := range candidates {
		switch {
		case d.isExcluded(begin, p, s):
			r.Excluded = append(r.Excluded, s.ID)
		case len(r.Warm) < maxWarm && d.isWarm(begin, c, s):
			r.Warm = append(r.Warm, s.ID)
		}
	}
	if len(r.Excluded) == len(candidates) {
		return nil, nil, false
	}
	c.SetPhase(AwaitsSlot, "")
	slot, inst, err := placer.Place(ctx, r)
	p.placementWait = time.Since(begin)
	if err != nil {
		refusal, selected := d.handleNoPlace(ctx, p, err)
		if !selected {
			p.placementWait = 0
		}
		return nil, refusal, selected
	}
	s, known := d.view.Servers().Find(time.Now(), inst)
	if !known {
		slot.Release(Outcome{NotRun: true})
		p.placementWait = 0
		return nil, nil, false
	}
	p.slot = slot
	return d.backend(d.view.Servers(), s), nil, true
}

// maxWarm bounds the servers with an open connection that a request names.
const maxWarm = 16

// isExcluded reports whether a call must not be sent to a server by this process.
func (d *Dispatcher) isExcluded(now time.Time, p *progress, s registry.Server) bool {
	return p.tried[s.Instance] || d.canRelay(now, p, s) || d.obstacle(now, s) != ""
}

// isWarm reports whether there is an open connection to a server that a call may use.
func (d *Dispatcher) isWarm(now time.Time, c *Call, s registry.Server) bool {
	b := d.backends.find(s.Instance)
	return b != nil && b.client.HasIdle(now, !c.Route.Kind.Retryable())
}

// handleNoPlace returns the result of a call that got no slot in time, or false if no process could select a
// server.
func (d *Dispatcher) handleNoPlace(ctx context.Context, p *progress, err error) (*Result, bool) {
	if ctx.Err() != nil {
		return d.contextDone(ctx, p), true
	}
	refusal, ok := errors.AsType[*RefusalError](err)
	if !ok {
		return nil, false
	}
	result := refusedResult(NoSlot, refusal.RetryAt, err)
	if refusal.OverLimit {
		result.Reason, result.Limit = OverLimit, refusal.Limit
	}
	p.steps = append(p.steps, Step{Reason: result.Reason, Waited: p.placementWait})
	return result, true
}
