// Package router forwards each request to the leaseholder of its key.
//
// If the receiver no longer holds the lease, or no upstream owns the shard, for example
// because it is being moved, the request was certainly not run. It then waits for a newer
// routing table and is sent again until its deadline, so that clients see a delay and no
// failure. A request whose outcome is unknown is sent again only if a second run is
// harmless: a lookup, up to three times and within the retry budget of the service. Every
// other response goes to the client.
//
// # Usage
//
//	r := router.New(self, routes, localHandler, peers, budgets)
//	response := r.Route(ctx, request)
package router

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
)

// Routes looks up the placement of a shard in the routing tables.
type Routes interface {
	// Find returns the placement of a shard, whether there is one, and a channel that is
	// closed when any routing table has changed after the call.
	Find(service string, s shard.Shard) (control.Placement, bool, <-chan struct{})
}

// LocalHandler runs the requests for whose key this process is the leaseholder.
type LocalHandler interface {
	Handle(ctx context.Context, r *exchange.Request) *exchange.Response
}

// Peers forwards requests to other leaseholders.
type Peers interface {
	Forward(ctx context.Context, to netip.AddrPort, r *exchange.Request) *exchange.Response
}

// Budgets limits the retries of each service.
type Budgets interface {
	// Withdraw takes one retry from the budget of a service; it returns false if none is left.
	Withdraw(now time.Time, service string) bool
	// Deposit adds to the budget of a service for one new request.
	Deposit(now time.Time, service string)
}

// recheckInterval is the longest wait for a newer table before the request is sent
// again. It also covers a table that arrived between the lookup and the refusal.
const recheckInterval = 100 * time.Millisecond

// maxResends bounds how often a lookup with an unknown outcome is sent again. A
// leaseholder that hangs costs 600 ms each time, and its lease expires within 1.4 s.
const maxResends = 3

// Router routes the requests of clients to leaseholders. It is safe for concurrent use.
type Router struct {
	self         control.Member
	routes       Routes
	localHandler LocalHandler
	peers        Peers
	budgets      Budgets
	// stopped is closed by Stop.
	stopped chan struct{}
	stop    func()
}

// New returns a router for the entry process self.
func New(self control.Member, routes Routes, localHandler LocalHandler, peers Peers, budgets Budgets) *Router {
	stopped := make(chan struct{})
	return &Router{
		self: self, routes: routes, localHandler: localHandler, peers: peers, budgets: budgets,
		stopped: stopped, stop: sync.OnceFunc(func() { close(stopped) }),
	}
}

// Stop ends the waits for a leaseholder; requests that were not run are refused from then on.
func (r *Router) Stop() { r.stop() }

// Route returns the response of the leaseholder, or one that says why there is none.
func (r *Router) Route(ctx context.Context, request *exchange.Request) *exchange.Response {
	r.budgets.Deposit(time.Now(), request.Service)
	for resent := 0; ; {
		response, changed := r.sendOnce(ctx, request)
		switch {
		case response.Reroute:
			if !r.waitForTable(ctx, changed) {
				return finalRefusal(request, response)
			}
		case response.Outcome == outcome.Unknown && resent < maxResends && mayResend(request, response) && ctx.Err() == nil:
			if !r.budgets.Withdraw(time.Now(), request.Service) || !r.waitForTable(ctx, changed) {
				return response
			}
			resent++
		default:
			return response
		}
		_ = response.Body.Close()
	}
}

// sendOnce sends the request to the leaseholder that the newest table names.
func (r *Router) sendOnce(ctx context.Context, request *exchange.Request) (*exchange.Response, <-chan struct{}) {
	placement, ok, changed := r.routes.Find(request.Service, request.Shard)
	if !ok {
		response := exchange.NotRunResponse(http.StatusServiceUnavailable, "no backend server owns the key at present")
		response.Reroute = true
		return response, changed
	}
	if placement.Leaseholder.Same(r.self) {
		return r.localHandler.Handle(ctx, request), changed
	}
	return r.peers.Forward(ctx, placement.Leaseholder.Address, request), changed
}

// mayResend reports whether a request with an unknown outcome may be sent again. A
// streamed body can't be read a second time. A request that crashed its server is not
// sent again, because it would crash the next server; the client gets the unknown outcome.
func mayResend(request *exchange.Request, response *exchange.Response) bool {
	if request.BodyRest != nil || response.ServerCrashed {
		return false
	}
	return request.Rank == rank.Lookup
}

// waitForTable returns true after a table change or the recheck interval, and false if the context ends or the
// process stops first.
func (r *Router) waitForTable(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// finalRefusal returns the response to a request that was not run before its deadline. If
// it has a ticket, the outcome is unknown, because only the leaseholder knows whether an
// earlier attempt with the same ticket was run.
func finalRefusal(request *exchange.Request, response *exchange.Response) *exchange.Response {
	if request.Ticket != "" {
		return exchange.UnknownOutcomeResponse(http.StatusGatewayTimeout, "this attempt was not run; an earlier one with the same ticket may have been")
	}
	response.Reroute = false
	response.RetryAt = time.Now().Add(time.Second)
	return response
}
