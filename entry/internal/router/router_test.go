package router_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/router"
)

var (
	self  = control.Member{Name: "a", Incarnation: 1}
	other = control.Member{Name: "b", Incarnation: 2, Address: netip.MustParseAddrPort("127.0.0.1:7")}
)

// fakeRoutes names one leaseholder for every shard, or none.
type fakeRoutes struct{ leaseholder *control.Member }

func (f *fakeRoutes) Find(string, shard.Shard) (control.Placement, bool, <-chan struct{}) {
	if f.leaseholder == nil {
		return control.Placement{}, false, nil
	}
	return control.Placement{Leaseholder: *f.leaseholder}, true, nil
}

// scriptedHandler answers each call with the next step; the last step answers all further calls.
type scriptedHandler struct {
	calls int
	steps []func() *exchange.Response
}

func (s *scriptedHandler) nextResponse() *exchange.Response {
	step := s.steps[min(s.calls, len(s.steps)-1)]
	s.calls++
	return step()
}

func (s *scriptedHandler) Handle(context.Context, *exchange.Request) *exchange.Response {
	return s.nextResponse()
}

func (s *scriptedHandler) Forward(context.Context, netip.AddrPort, *exchange.Request) *exchange.Response {
	return s.nextResponse()
}

func ranResponse() *exchange.Response { return exchange.TextResponse(outcome.Ran, http.StatusOK, "ok") }

func unknownResponse() *exchange.Response {
	return exchange.UnknownOutcomeResponse(http.StatusBadGateway, "broke")
}

func movedResponse() *exchange.Response {
	r := exchange.NotRunResponse(http.StatusServiceUnavailable, "moved")
	r.Reroute = true
	return r
}

func routeRequest(t *testing.T, leaseholder *control.Member, peers *scriptedHandler, request *exchange.Request) *exchange.Response {
	t.Helper()
	request.Deadline = time.Now().Add(time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	localHandler := &scriptedHandler{steps: []func() *exchange.Response{ranResponse}}
	return router.New(self, &fakeRoutes{leaseholder}, localHandler, peers, retry.New(retry.Default)).Route(ctx, request)
}

// Guards against a request that fails while its key is being moved, because the leaseholder of the former table refuses
// it. It must be delayed instead.
func TestMovedKeyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &scriptedHandler{steps: []func() *exchange.Response{movedResponse, movedResponse, ranResponse}}
		response := routeRequest(t, &other, peers, &exchange.Request{Rank: rank.Confirmation, Ticket: "t"})
		must.Eq(t, outcome.Ran, response.Outcome)
		must.Eq(t, 3, peers.calls)
	})
}

// Guards against a request that is held beyond its deadline or reported with an unknown outcome because no upstream owns
// its shard.
func TestNoOwnerIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		response := routeRequest(t, nil, &scriptedHandler{}, &exchange.Request{Rank: rank.Lookup})
		must.Eq(t, outcome.NotRun, response.Outcome)
		must.Eq(t, time.Second, time.Since(start))
		must.False(t, response.RetryAt.IsZero())
	})
}

// Guards against a request with a ticket that is reported as not run because no upstream owns its shard, although an
// earlier attempt with the same ticket may have run.
func TestNoOwnerForTicketIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response := routeRequest(t, nil, &scriptedHandler{}, &exchange.Request{Rank: rank.Confirmation, Ticket: "t"})
		must.Eq(t, outcome.Unknown, response.Outcome)
	})
}

// Guards against a second run of anything but a lookup after an unknown outcome, against endless resends of a lookup, and
// against a request that crashed its server being sent to another one.
func TestUnknownOutcome(t *testing.T) {
	crashedResponse := func() *exchange.Response { r := unknownResponse(); r.ServerCrashed = true; return r }
	cases := map[string]struct {
		request       exchange.Request
		firstResponse func() *exchange.Response
		calls         int
	}{
		"lookup is resent three times": {exchange.Request{Rank: rank.Lookup}, unknownResponse, 4},
		"upload is not resent":         {exchange.Request{Rank: rank.Upload}, unknownResponse, 1},
		"confirmation is not resent":   {exchange.Request{Rank: rank.Confirmation, Ticket: "t"}, unknownResponse, 1},
		"not resent after a crash":     {exchange.Request{Rank: rank.Lookup}, crashedResponse, 1},
		"streamed body is not resent":  {exchange.Request{Rank: rank.Lookup, BodyRest: strings.NewReader("x")}, unknownResponse, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &scriptedHandler{steps: []func() *exchange.Response{c.firstResponse, unknownResponse}}
				response := routeRequest(t, &other, peers, &c.request)
				must.Eq(t, outcome.Unknown, response.Outcome)
				must.Eq(t, c.calls, peers.calls)
			})
		})
	}
}

// Guards against retries that multiply the load of a failing service, if each of its requests is retried.
func TestRetryBudget(t *testing.T) {
	b := retry.New(retry.Default)
	now := time.Unix(0, 0)
	spent := 0
	for range 10_000 {
		b.Deposit(now, "s")
		if b.Withdraw(now, "s") {
			spent++
		}
	}
	// The upper bound is the initial burst of 100 and 10% of 10,000 requests.
	must.Between(t, 1000, spent, 1100)
}
