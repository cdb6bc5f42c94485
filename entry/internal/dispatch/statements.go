package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

const (
	// heldSpread is the time over which the requests of one rank that a server has held off are spread after
	// the end of its hold. Ranks above maxSpreadRank count as that.
	heldSpread    = 200 * time.Millisecond
	maxSpreadRank = 3
)

// leavingRetryDelay is the time after which a client may try again when the server that holds the key
// leaves and no other server of the service is registered.
const leavingRetryDelay = time.Second

// observeStatements records what a server states about itself in a response, which may be nil.
func (d *Dispatcher) observeStatements(now time.Time, inst registry.Instance, r *origin.Response) {
	if r == nil {
		return
	}
	if r.LeavingErr != nil {
		d.statements.ObserveInvalid(now, inst, r.LeavingErr)
	}
	if r.LoadErr != nil {
		d.statements.ObserveInvalid(now, inst, r.LoadErr)
	}
	if r.Leaving {
		d.statements.ObserveLeaving(now, inst)
	}
	if r.OtherServer != "" {
		d.statements.ObserveEnded(now, inst, r.OtherServer)
	}
	if r.HeldErr != nil {
		d.statements.ObserveInvalid(now, inst, r.HeldErr)
	}
	if !r.HeldUntil.IsZero() {
		d.statements.HoldOff(now, inst, r.HeldUntil)
	}
}

// heldResult returns the refusal of a call whose servers take no requests from this process until the given
// time. The times at which clients may try again are spread, urgent ranks first, so that the requests which
// were refused don't come back at once.
func heldResult(c *Call, until time.Time) *Result {
	spread := time.Duration(min(c.Route.Rank, maxSpreadRank))*heldSpread + rand.N(heldSpread)
	return refusedResult(HeldOff, until.Add(spread), nil)
}

// heldRefusal returns the refusal of a call of a service whose servers all take no requests from this process
// now, with the end of the hold that ends first, or nil if one of them takes them.
func (d *Dispatcher) heldRefusal(now time.Time, servers []registry.Server, c *Call) *Result {
	var first time.Time
	for _, s := range servers {
		until, held := d.statements.HeldUntil(now, s.Instance)
		if !held {
			return nil
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return nil
	}
	return heldResult(c, first)
}

// observeRelayed records that the server of a response which another process has relayed leaves: this process
// passes the response on too, and may send to the server itself later.
func (d *Dispatcher) observeRelayed(now time.Time, r *Result) {
	if leaving, err := d.backends.fields.IsLeaving(r.Response.Header); err != nil || !leaving {
		return
	}
	for _, s := range d.view.Servers().Registered() {
		if s.ID == r.Server {
			d.statements.ObserveLeaving(now, s.Instance)
		}
	}
}

// allLeave reports whether all registered servers of the call's service leave, so that none can take its key.
func allLeave(servers *view.Servers, c *Call) bool {
	if len(servers.Service(c.Service)) > 0 {
		return false
	}
	return slices.ContainsFunc(servers.Registered(), func(s registry.Server) bool { return s.Service == c.Service })
}
