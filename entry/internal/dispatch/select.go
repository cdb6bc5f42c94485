package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

var (
	errUnverifiedResponse = eris.New("dispatch: the response has no proof of its server or has a content encoding")
	errBackoff            = eris.New("dispatch: the server was unreachable and gets no requests until its back-off ends")
)

// isSharded reports whether each key of the call's service is owned by one server.
func (d *Dispatcher) isSharded(c *Call) bool {
	configuration := d.view.Configuration()
	return configuration != nil && configuration.Services[c.Service].Sharded
}

// backend returns the backend of a server.
func (d *Dispatcher) backend(servers *view.Servers, s registry.Server) *backend {
	connections := 0
	if configuration := d.view.Configuration(); configuration != nil {
		connections = configuration.Services[s.Service].Connections
	}
	return d.backends.get(servers, s, idleShare(connections, int(d.processes.Load())))
}

// selectBackend returns the server for the next attempt, or a refusal if there is none.
func (d *Dispatcher) selectBackend(ctx context.Context, p *progress) (*backend, *Result) {
	if d.isSharded(p.call) {
		return d.selectOwner(ctx, p)
	}
	if b, refusal, selected := d.place(ctx, p); selected {
		return b, refusal
	}
	servers := d.view.Servers()
	now := time.Now()
	// unreached is the best server that only other processes may reach.
	var best, unreached *backend
	var lowest, lowestUnreached time.Duration
	retryAt := now.Add(refusalRetryDelay)
	for _, s := range servers.Service(p.call.Service) {
		b := d.backend(servers, s)
		if d.canRelay(now, p, s) {
			if cost := d.cost(p.call, b); unreached == nil || cost < lowestUnreached {
				unreached, lowestUnreached = b, cost
			}
			continue
		}
		if _, held := d.statements.HeldUntil(now, s.Instance); held || p.tried[s.Instance] {
			continue
		}
		if until, inBackoff := b.backoff(now); inBackoff {
			retryAt = until
			continue
		}
		cost := d.cost(p.call, b)
		if best == nil || cost < lowest {
			best, lowest = b, cost
		}
	}
	if best == nil && unreached != nil {
		return unreached, nil
	}
	if best == nil {
		if refusal := d.heldRefusal(now, servers.Service(p.call.Service), p.call); refusal != nil {
			return nil, refusal
		}
		return nil, refusedResult(NoServer, retryAt, nil)
	}
	return best, nil
}

// cost returns the expected time until a server's response, the wait for a slot included, plus a
// penalty if the server is in another data centre.
func (d *Dispatcher) cost(c *Call, b *backend) time.Duration {
	cost := b.expectedTime() + d.limiter.ExpectedWait(d.slotRequest(c, b.server))
	if b.server.DataCentre == d.dataCentre {
		return cost
	}
	if len(c.Body) > largeBody {
		return cost + remoteLargePenalty
	}
	return cost + remotePenalty
}

// selectOwner returns the server that owns the key of a call. While the key is moving, it waits
// for the new owner, for up to maxOwnerWait.
func (d *Dispatcher) selectOwner(ctx context.Context, p *progress) (*backend, *Result) {
	if !p.call.HasKey {
		return d.refuseKeyless(p)
	}
	begin := time.Now()
	defer func() { p.ownerWait += time.Since(begin) }()
	limit := begin.Add(maxOwnerWait)
	for {
		changed := d.view.Changed()
		now := time.Now()
		servers := d.view.Servers()
		if table := d.view.Table(p.call.Service); table != nil {
			p.tableRevision = table.Revision
		}
		s, ok := d.lookupOwner(now, servers, p.call)
		if ok {
			b := d.backend(servers, s)
			if d.canRelay(now, p, s) {
				return b, nil
			}
			if until, held := d.statements.HeldUntil(now, s.Instance); held {
				p.steps = append(p.steps, Step{Server: s.ID, Reason: HeldOff})
				return nil, heldResult(p.call, until)
			}
			until, inBackoff := b.backoff(now)
			if !inBackoff {
				return b, nil
			}
			p.steps = append(p.steps, Step{Server: s.ID, Reason: Unreachable})
			return nil, refusedResult(Unreachable, b.keysReturn(until), errBackoff)
		}
		if allLeave(servers, p.call) {
			return nil, refusedResult(ServersLeave, now.Add(leavingRetryDelay), nil)
		}
		left := limit.Sub(now)
		if retryAt, unreachable := d.ownerUnreachable(now, servers, p.call); left <= 0 || unreachable {
			return nil, refusedResult(NoOwner, retryAt, nil)
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, d.contextDone(ctx, p)
		}
		timer.Stop()
	}
}

// refuseKeyless refuses a request without a key to a sharded service, which no server can run.
func (d *Dispatcher) refuseKeyless(_ *progress) (*backend, *Result) {
	return nil, refusedResult(NoOwner, time.Now().Add(refusalRetryDelay), nil)
}

// lookupOwner returns the server that owns the key of a call now. It returns false while the key
// has no owner or the owner can't be sent requests.
func (d *Dispatcher) lookupOwner(now time.Time, servers *view.Servers, c *Call) (registry.Server, bool) {
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
	return servers.Find(now, owner.Instance)
}

// ownerUnreachable reports whether it is useless to wait for an owner of the call's key, and when the
// client should try again: the service has no ownership table, or a server that still holds the key is in
// back-off or ended some time ago. The key then stays without an owner for longer than a request can wait.
func (d *Dispatcher) ownerUnreachable(now time.Time, servers *view.Servers, c *Call) (retryAt time.Time, unreachable bool) {
	retryAt = now.Add(refusalRetryDelay)
	table := d.view.Table(c.Service)
	if table == nil {
		return retryAt, true
	}
	a := table.Find(c.Key)
	if a == nil {
		return retryAt, false
	}
	for _, h := range a.Holders {
		if at, ended := d.view.EndedAt(now, h.Instance); ended && now.Sub(at) > maxOwnerWait {
			return retryAt, true
		}
		s, ok := servers.Find(now, h.Instance)
		if !ok {
			continue
		}
		b := d.backend(servers, s)
		if _, inBackoff := b.backoff(now); inBackoff {
			return b.keysReturn(retryAt), true
		}
	}
	return retryAt, false
}

// isUsable reports whether a server may still be sent a call that has waited for its slot: it
// owns the key of the call or, if the service is not sharded, accepts new requests. A server
// may have left while the call was waiting.
func (d *Dispatcher) isUsable(c *Call, b *backend) bool {
	if !d.isSharded(c) {
		return d.view.Servers().AcceptsRequests(b.server.Instance)
	}
	s, ok := d.lookupOwner(time.Now(), d.view.Servers(), c)
	return ok && s.Instance == b.server.Instance
}

// awaitChange waits until the servers or the ownership tables change, but no longer than timeout.
func (d *Dispatcher) awaitChange(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-d.view.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}
