package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/retry"
)

// recordedStatements records the servers that have stated that they leave.
type recordedStatements struct {
	noTracking
	mu      sync.Mutex
	leaving []registry.Instance
}

func (s *recordedStatements) ObserveLeaving(_ time.Time, inst registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, inst)
}

// Guards against a statement that a process does not hear because another one has relayed the response.
func TestLeavingInRelayedResponse(t *testing.T) {
	for _, sharded := range []bool{true, false} {
		a := newServer(t, "a", handleOK)
		p := newPartition(func() *dispatch.Result {
			r := servedByPeer()
			r.Response.Header = http.Header{"Leaving": {"1"}}
			return r
		})
		p.begin()
		s := &recordedStatements{}
		f := newFixture(t, sharded, unlimited{}, ampleBudget, a)
		f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, s)
		if sharded {
			f.setOwner(a, false)
		}
		must.Eq(t, 200, f.call(traffic.NonIdempotent).Status)
		must.Eq(t, []registry.Instance{a.Instance}, s.leaving)
	}
}

// holds holds off servers like statement.Table.
type holds struct {
	noTracking
	mu    sync.Mutex
	until map[registry.Instance]time.Time
}

func newHolds() *holds { return &holds{until: make(map[registry.Instance]time.Time)} }

func (h *holds) HoldOff(_ time.Time, inst registry.Instance, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[inst] = until
}

func (h *holds) HeldUntil(now time.Time, inst registry.Instance) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until[inst], now.Before(h.until[inst])
}

// heldOffPeer returns the refusal of a process that the server has held off too.
func heldOffPeer() *dispatch.Result {
	return &dispatch.Result{Status: 503, Reason: dispatch.HeldOff, Peer: "p", RetryAt: time.Now().Add(200 * time.Millisecond)}
}

// turnAway handles requests by turning them away for an hour.
func turnAway(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Held", "1h")
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a call that is not sent elsewhere after its server has turned it away, and against later calls
// that reach that server: the other server of the service, or another process, could run them.
func TestHeldServer(t *testing.T) {
	for name, c := range map[string]struct {
		sharded bool
		peer    func() *dispatch.Result
		status  int
		reason  dispatch.Reason
	}{
		"other server":            {false, notTaken, 200, dispatch.Answered},
		"owner, through a peer":   {true, servedByPeer, 200, dispatch.Answered},
		"owner, no peer takes it": {true, notTaken, 503, dispatch.HeldOff},
		"owner, peers held off":   {true, heldOffPeer, 503, dispatch.HeldOff},
	} {
		for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent} {
			t.Run(name, func(t *testing.T) {
				a := newServer(t, "a", turnAway)
				servers := []*testServer{a}
				if !c.sharded {
					servers = append(servers, newServer(t, "b", handleOK))
				}
				f := newFixture(t, c.sharded, unlimited{}, ampleBudget, servers...)
				p, h := newPartition(c.peer), newHolds()
				f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, h)
				if c.sharded {
					f.setOwner(a, false)
				}
				for range 10 {
					r := f.call(kind)
					must.Eq(t, c.status, r.Status)
					must.Eq(t, c.reason, r.Reason)
					must.Eq(t, c.reason == dispatch.HeldOff, r.RetryAt.After(time.Now().Add(59*time.Minute)))
				}
				must.Eq(t, 1, a.requests())
				must.Eq(t, dispatch.HeldOff, f.dispatcher.CheckReach(time.Now(), "svc", a.Instance))
			})
		}
	}
}

// heldWhileWaiting is a limiter whose slots come after the server has been held off.
type heldWhileWaiting struct {
	unlimited
	holds *holds
}

func (l heldWhileWaiting) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	l.holds.HoldOff(time.Now(), r.Server.Instance, time.Now().Add(time.Hour))
	return l.unlimited.Acquire(ctx, r)
}

// Guards against a call that waits for a slot while its server is held off, and is sent then.
func TestHeldWhileWaitingForSlot(t *testing.T) {
	for _, sharded := range []bool{true, false} {
		a := newServer(t, "a", handleOK)
		h := newHolds()
		p := newPartition(notTaken)
		f := newFixture(t, sharded, unlimited{}, ampleBudget, a)
		f.dispatcher = dispatch.New(f.view, heldWhileWaiting{holds: h}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, h)
		if sharded {
			f.setOwner(a, false)
		}
		r := f.call(traffic.NonIdempotent)
		must.Eq(t, dispatch.HeldOff, r.Reason)
		must.Eq(t, 0, a.requests())
	}
}

// callWithRank makes a call whose route has the rank.
func (f *fixture) callWithRank(rank int) *dispatch.Result {
	route := *f.view.Configuration().Match("h", "/x")
	route.Rank, route.Objective = rank, 500*time.Millisecond
	now := time.Now()
	return f.dispatcher.Do(f.t.Context(), &dispatch.Call{
		ID: "id", Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"id"}}, Route: &route,
		Service: "svc", Arrived: now, Deadline: now.Add(time.Second), HasKey: true, Key: 7,
	})
}

// Guards against clients that come back before the end of the hold, all at once after it, or the less urgent
// ones first.
func TestRetryAfterHold(t *testing.T) {
	a := newServer(t, "a", handleOK)
	h, p := newHolds(), newPartition(notTaken)
	f := newFixture(t, true, unlimited{}, ampleBudget, a)
	f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, h)
	f.setOwner(a, false)
	until := time.Now().Add(time.Hour)
	h.HoldOff(time.Now(), a.Instance, until)
	var latest time.Time
	for rank := range 5 {
		var first, last time.Time
		for range 200 {
			at := f.callWithRank(rank).RetryAt
			must.False(t, at.Before(until))
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		must.Greater(t, 100*time.Millisecond, last.Sub(first))
		if rank < 4 {
			must.False(t, first.Before(latest), must.Sprint("rank ", rank))
		}
		latest = last
	}
	must.Less(t, 2*time.Second, latest.Sub(until))
	must.Eq(t, 0, a.requests())
}
