package dispatch

import (
	"time"

	"bramleystand.org/common/registry"
)

// Explanation is where a call would go now.
type Explanation struct {
	// Sharded is true if the service is divided by key. Owner is then the server that holds the key; it has no
	// identifier if there is none.
	Sharded       bool
	Owner         registry.Server
	TableRevision uint64
	// Obstacles has, by server, why a call must not be sent there by this process.
	Obstacles map[string]Reason
}

// Explain returns where a call would go now, as far as this process decides it. It changes nothing.
func (d *Dispatcher) Explain(now time.Time, c *Call) Explanation {
	e := Explanation{Sharded: d.isSharded(c), Obstacles: make(map[string]Reason)}
	servers := d.view.Servers()
	for _, s := range servers.Registered() {
		if s.Service != c.Service {
			continue
		}
		if reason := d.obstacle(now, s); reason != "" {
			e.Obstacles[s.ID] = reason
		}
	}
	if !e.Sharded {
		return e
	}
	if table := d.view.Table(c.Service); table != nil {
		e.TableRevision = table.Revision
	}
	if s, ok := d.lookupOwner(now, servers, c); ok {
		e.Owner = s
	}
	return e
}

// obstacle returns why a call must not be sent to a server by this process, or "".
func (d *Dispatcher) obstacle(now time.Time, s registry.Server) Reason {
	if _, held := d.statements.HeldUntil(now, s.Instance); held {
		return HeldOff
	}
	if !d.view.Servers().AcceptsRequests(s.Instance) {
		return ServersLeave
	}
	if d.reachability.Unreached(now, s) {
		return Unreachable
	}
	if b := d.backends.find(s.Instance); b != nil {
		if _, inBackoff := b.backoff(now); inBackoff {
			return Unreachable
		}
	}
	return ""
}

// PlaceRequest returns the request to place a call, without the servers that it must not be sent to.
func (d *Dispatcher) PlaceRequest(c *Call) PlaceRequest {
	bounds := d.slotRequest(c, registry.Server{})
	return PlaceRequest{
		Service: c.Service, Rank: bounds.Rank, Arrived: bounds.Arrived, Objective: bounds.Objective, Deadline: bounds.Deadline,
		Large: len(c.Body) > largeBody,
	}
}
