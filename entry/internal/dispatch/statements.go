package dispatch

import (
	"slices"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
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
	if r.Leaving {
		d.statements.ObserveLeaving(now, inst)
	}
}

// allLeave reports whether all registered servers of the call's service leave, so that none can take its key.
func allLeave(servers *view.Servers, c *Call) bool {
	if len(servers.Service(c.Service)) > 0 {
		return false
	}
	return slices.ContainsFunc(servers.Registered(), func(s registry.Server) bool { return s.Service == c.Service })
}
