package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

var (
	errUnproved = eris.New("dispatch: the answer does not prove that the server made it")
	errAvoided  = eris.New("dispatch: the server was unreachable a moment ago")
)

// sharded reports whether the servers of the call's service own their keys.
func (d *Dispatcher) sharded(c *Call) bool {
	configuration := d.view.Configuration()
	return configuration != nil && configuration.Services[c.Service].Sharded
}

// choose returns the server for the next attempt, or a refusal.
func (d *Dispatcher) choose(ctx context.Context, p *progress) (*target, *Result) {
	if d.sharded(p.call) {
		return d.owner(ctx, p)
	}
	servers := d.view.Servers()
	now := time.Now()
	var best *target
	var least time.Duration
	avoided := now.Add(refusedRetry)
	for _, s := range servers.Service(p.call.Service) {
		if p.tried[s.Life] {
			continue
		}
		t := d.targets.get(servers, s)
		if until, is := t.avoided(now); is {
			avoided = until
			continue
		}
		cost := d.cost(p.call, t)
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	if best == nil {
		return nil, refused(NoServer, avoided, nil)
	}
	return best, nil
}

// cost returns the time that a server is expected to take, with a handicap for other data centres.
func (d *Dispatcher) cost(c *Call, t *target) time.Duration {
	cost := t.expected() + d.gate.Wait(c.admission(t.server))
	if t.server.DataCentre == d.dataCentre {
		return cost
	}
	if len(c.Body) > bulkBody {
		return cost + bulkDistance
	}
	return cost + distance
}

// owner returns the server that owns the key of a call. While the key moves, it waits for the
// new owner.
func (d *Dispatcher) owner(ctx context.Context, p *progress) (*target, *Result) {
	if !p.call.HasKey {
		return d.anyOwner(p)
	}
	begin := time.Now()
	defer func() { p.held += time.Since(begin) }()
	limit := begin.Add(ownerWait)
	for {
		changed := d.view.Changed()
		now := time.Now()
		servers := d.view.Servers()
		if table := d.view.Table(p.call.Service); table != nil {
			p.table = table.Revision
		}
		s, ok := d.lookup(now, servers, p.call)
		if ok {
			t := d.targets.get(servers, s)
			until, avoided := t.avoided(now)
			if !avoided {
				return t, nil
			}
			p.steps = append(p.steps, Step{Server: s.ID, Reason: Unreachable})
			return nil, refused(Unreachable, until, errAvoided)
		}
		left := limit.Sub(now)
		if left <= 0 || d.lost(now, servers, p.call) {
			return nil, refused(NoOwner, now.Add(refusedRetry), nil)
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, d.over(ctx, p)
		}
		timer.Stop()
	}
}

// anyOwner handles a request without a key at a sharded service: no server can run it.
func (d *Dispatcher) anyOwner(_ *progress) (*target, *Result) {
	return nil, refused(NoOwner, time.Now().Add(refusedRetry), nil)
}

// lookup returns the server that owns the key at this time.
func (d *Dispatcher) lookup(now time.Time, servers *view.Servers, c *Call) (registry.Server, bool) {
	table := d.view.Table(c.Service)
	if table == nil {
		return registry.Server{}, false
	}
	a := table.Find(c.Key)
	if a == nil {
		return registry.Server{}, false
	}
	owner, ok := a.Owner()
	if !ok {
		return registry.Server{}, false
	}
	return servers.Find(now, owner.Life)
}

// lost reports whether the key waits for a server that is gone for longer than a request can wait.
func (d *Dispatcher) lost(now time.Time, servers *view.Servers, c *Call) bool {
	table := d.view.Table(c.Service)
	if table == nil {
		return true
	}
	a := table.Find(c.Key)
	if a == nil || len(a.Holders) == 0 {
		return false
	}
	for _, h := range a.Holders {
		s, ok := servers.Find(now, h.Life)
		if !ok {
			continue
		}
		if _, avoided := d.targets.get(servers, s).avoided(now); avoided {
			return true
		}
	}
	return false
}

// isUsable reports whether the server that a call has waited for still owns its key or, without
// keys, still takes new work; servers leave while requests wait for their slots.
func (d *Dispatcher) isUsable(c *Call, t *target) bool {
	if !d.sharded(c) {
		return d.view.Servers().InUse(t.server.Life)
	}
	s, ok := d.lookup(time.Now(), d.view.Servers(), c)
	return ok && s.Life == t.server.Life
}

// awaitChange waits for a change of servers or tables.
func (d *Dispatcher) awaitChange(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-d.view.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}
