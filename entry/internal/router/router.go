// Package router brings a request to the leaseholder of its key and retries what
// provably was not run.
//
// A request whose shard is being moved waits for a newer routing table: callers see
// a stall and no failure. Other refusals are retried within the retry budget of the
// service. A request whose outcome is unknown is only sent again if a second run is
// harmless: a lookup, up to three times.
//
// # Usage
//
//	r := router.New(self, routes, local, peers, budgets)
//	response := r.Route(ctx, request)
package router

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
)

// Routes finds the placement of a shard.
type Routes interface {
	// Find returns the placement of a shard and a channel that is closed when
	// any routing table has changed after the call.
	Find(service string, s shard.Shard) (control.Placement, bool, <-chan struct{})
}

// Local runs requests of which this process is the leaseholder.
type Local interface {
	Handle(ctx context.Context, r *exchange.Request) *exchange.Response
}

// Peers forwards requests to other leaseholders.
type Peers interface {
	Forward(ctx context.Context, to netip.AddrPort, r *exchange.Request) *exchange.Response
}

// Budgets grants retries.
type Budgets interface {
	// Spend takes one retry of a service, or returns false.
	Spend(now time.Time, service string) bool
	// Earn notes one request of a service.
	Earn(now time.Time, service string)
}

// recheck is the longest wait for a newer table before the leaseholder is asked
// again; it also covers a table that arrived between the look-up and the refusal.
const recheck = 100 * time.Millisecond

// maxResends bounds how often a lookup with an unknown outcome is sent again. A
// frozen leaseholder costs 600 ms each time, and its lease expires within 1.4 s.
const maxResends = 3

// Router routes the requests of callers.
type Router struct {
	self    control.Member
	routes  Routes
	local   Local
	peers   Peers
	budgets Budgets
}

// New returns a router for the entry process self.
func New(self control.Member, routes Routes, local Local, peers Peers, budgets Budgets) *Router {
	return &Router{self: self, routes: routes, local: local, peers: peers, budgets: budgets}
}

// Route returns the answer of the request's owner, or why there is none.
func (r *Router) Route(ctx context.Context, request *exchange.Request) *exchange.Response {
	r.budgets.Earn(time.Now(), request.Service)
	for resent := 0; ; {
		response, changed := r.try(ctx, request)
		switch {
		case response.Moved:
			if !wait(ctx, changed) {
				return expire(request, response)
			}
		case response.Outcome == outcome.Unknown && resent < maxResends && mayResend(request, response) && ctx.Err() == nil:
			if !r.budgets.Spend(time.Now(), request.Service) || !wait(ctx, changed) {
				return response
			}
			resent++
		default:
			return response
		}
		_ = response.Body.Close()
	}
}

// try sends the request to the leaseholder that the newest table names.
func (r *Router) try(ctx context.Context, request *exchange.Request) (*exchange.Response, <-chan struct{}) {
	placement, ok, changed := r.routes.Find(request.Service, request.Shard)
	if !ok {
		response := exchange.Refuse(http.StatusServiceUnavailable, "no backend server owns the key at present")
		response.Moved = true
		return response, changed
	}
	if placement.Leaseholder.Same(r.self) {
		return r.local.Handle(ctx, request), changed
	}
	return r.peers.Forward(ctx, placement.Leaseholder.Address, request), changed
}

// mayResend reports whether a request with an unknown outcome can be sent again. A
// body that was streamed is gone; a request that broke its server is left to its
// caller, who is told, because a resend would break the next server.
func mayResend(request *exchange.Request, response *exchange.Response) bool {
	if request.Rest != nil || response.Crashed {
		return false
	}
	return request.Rank == rank.Lookup
}

// wait returns true after a table change or the recheck interval, and false at the deadline.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// expire makes a refusal final: this attempt was not run before its deadline. Only
// the leaseholder knows whether an earlier attempt with the same ticket was.
func expire(request *exchange.Request, r *exchange.Response) *exchange.Response {
	if request.Ticket != "" {
		return exchange.Unsure(http.StatusGatewayTimeout, "this attempt was not run; an earlier one with the same ticket may have been")
	}
	r.Moved = false
	r.RetryAt = time.Now().Add(time.Second)
	return r
}
