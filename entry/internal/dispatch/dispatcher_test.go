package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/view"
)

// testHeaderFields implements origin.HeaderFields with the header fields of the tests.
type testHeaderFields struct{}

func (testHeaderFields) ID(h http.Header) string  { return h.Get("Id") }
func (testHeaderFields) IsSetByProxy(string) bool { return false }
func (testHeaderFields) AddRequestFields(add func(name, value string), left time.Duration, server string) {
	add("Left", left.String())
	add("Server", server)
}

func (testHeaderFields) NotRun(status int, h http.Header) bool {
	return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}

func (testHeaderFields) RequestLimit(h http.Header) (float64, bool, error) {
	perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return perSecond, err == nil, nil
}

func (testHeaderFields) ServerLoad(http.Header) (*registry.Load, error) { return nil, nil }
func (testHeaderFields) IsLeaving(h http.Header) (bool, error)          { return h.Get("Leaving") != "", nil }

func (testHeaderFields) OtherServer(status int, h http.Header, expected string) string {
	if other := h.Get("Other"); status == http.StatusMisdirectedRequest && other != expected {
		return other
	}
	return ""
}

func (testHeaderFields) RetryAfter(now time.Time, h http.Header) (time.Time, bool, error) {
	left, err := time.ParseDuration(h.Get("Held"))
	return now.Add(left), err == nil, nil
}

func (testHeaderFields) HasProof(h http.Header) bool { return h.Get("Proof") != "" }

// testServer is a backend server that counts the requests it receives.
type testServer struct {
	registry.Server
	mu       sync.Mutex
	received int
}

// newServer starts a server that answers with handle; n counts its requests from 1.
func newServer(t *testing.T, id string, handle func(n int, w http.ResponseWriter, r *http.Request)) *testServer {
	s := &testServer{}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.received++
		n := s.received
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		handle(n, w, r)
	}))
	t.Cleanup(h.Close)
	s.ID, s.Incarnation, s.Service, s.Slots, s.DataCentre = id, 1, "svc", 4, "x"
	s.Address = netip.MustParseAddrPort(h.Listener.Addr().String())
	return s
}

func (s *testServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// handleOK answers with a valid response.
func handleOK(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "s")
	_, _ = io.WriteString(w, "served")
}

// handleNotRun answers that the request was not run.
func handleNotRun(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleAbort closes the connection without a response.
func handleAbort(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// handleError answers with a valid response with status 500.
func handleError(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

// unlimited is a limiter that always has a slot.
type unlimited struct{}

func (unlimited) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	return unlimitedSlot{}, nil
}
func (unlimited) ExpectedWait(dispatch.SlotRequest) time.Duration { return 0 }

type unlimitedSlot struct{}

func (unlimitedSlot) Release(dispatch.Outcome) {}

// noSlots is a limiter that never has a slot.
type noSlots struct{ unlimited }

func (noSlots) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	return nil, &dispatch.RefusalError{RetryAt: time.Now().Add(time.Second)}
}

// noTracking is an observer that ignores everything, a crash tracker that blocks no request, a
// reachability that takes no server for unreached and a relay that is never available.
type noTracking struct{}

func (noTracking) AttemptEnded(dispatch.Observation)                             {}
func (noTracking) IsBlocked(time.Time, suspect.Fingerprint) bool                 { return false }
func (noTracking) RecordCrash(time.Time, suspect.Fingerprint, registry.Instance) {}
func (noTracking) RecordResponse(time.Time, suspect.Fingerprint)                 {}
func (noTracking) RequestSent(time.Time, registry.Server) func()                 { return func() {} }
func (noTracking) RecordReached(time.Time, registry.Server)                      {}
func (noTracking) RecordAnswer(time.Time, registry.Server)                       {}
func (noTracking) RecordUnreached(time.Time, registry.Server)                    {}
func (noTracking) RecordReset(time.Time, registry.Server)                        {}
func (noTracking) Unreached(time.Time, registry.Server) bool                     { return false }
func (noTracking) CutOffFrom(string) bool                                        { return false }
func (noTracking) Hanging(string) bool                                           { return false }
func (noTracking) Connected(string) context.Context                              { return context.Background() }
func (noTracking) Available(time.Time, registry.Server) bool                     { return false }
func (noTracking) Do(context.Context, *dispatch.Call, registry.Server, int) *dispatch.Result {
	return nil
}

func (noTracking) HoldOff(time.Time, registry.Instance, time.Time) {}
func (noTracking) HeldUntil(time.Time, registry.Instance) (time.Time, bool) {
	return time.Time{}, false
}
func (noTracking) ObserveLeaving(time.Time, registry.Instance)        {}
func (noTracking) ObserveEnded(time.Time, registry.Instance, string)  {}
func (noTracking) ObserveInvalid(time.Time, registry.Instance, error) {}

// fixture is a dispatcher with its view of the configuration, the servers and their keys.
type fixture struct {
	t          *testing.T
	view       *view.View
	dispatcher *dispatch.Dispatcher
	revision   uint64
}

func newFixture(t *testing.T, sharded bool, l dispatch.Limiter, limit retry.Limit, servers ...*testServer) *fixture {
	v := view.New()
	c, err := traffic.New(1, []traffic.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, WeightedServices: []traffic.WeightedService{{Service: "svc", Weight: 1}}}},
		map[string]traffic.Service{"svc": {Name: "svc", Sharded: sharded}}, traffic.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.NoError(t, err)
	v.SetConfiguration(c)
	var list []registry.Server
	for _, s := range servers {
		list = append(list, s.Server)
	}
	v.SetServers(time.Now(), list)
	return &fixture{t: t, view: v, dispatcher: dispatch.New(v, l, retry.New(limit), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, noTracking{}, noTracking{}, noTracking{})}
}

// setOwner makes a server the owner of all keys, or marks all keys as moving to it.
func (f *fixture) setOwner(s *testServer, moving bool) {
	f.revision++
	holder := ownership.Server{Instance: s.Instance, Address: s.Address.String()}
	a := ownership.Assignment{Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{holder}}
	if moving {
		a.Target = &holder
	}
	f.view.SetTable(&ownership.Table{Service: "svc", Revision: f.revision, Assignments: []ownership.Assignment{a}})
}

// call makes a call for a client that stays connected.
func (f *fixture) call(kind traffic.Kind) *dispatch.Result {
	return f.callFor(f.t.Context(), kind)
}

// callFor makes a call for a client that disconnects when its context ends.
func (f *fixture) callFor(client context.Context, kind traffic.Kind) *dispatch.Result {
	return f.do(client, f.dispatcher.Do, kind, time.Second)
}

// callWith makes a call with the time until its deadline, which another process may have relayed.
func (f *fixture) callWith(relayed bool, kind traffic.Kind, left time.Duration) *dispatch.Result {
	if relayed {
		return f.do(f.t.Context(), f.dispatcher.DoRelayed, kind, left)
	}
	return f.do(f.t.Context(), f.dispatcher.Do, kind, left)
}

func (f *fixture) do(client context.Context, do func(context.Context, *dispatch.Call) *dispatch.Result, kind traffic.Kind, left time.Duration) *dispatch.Result {
	route := *f.view.Configuration().Match("h", "/x")
	route.Kind, route.Objective = kind, 500*time.Millisecond
	now := time.Now()
	ctx, cancel := context.WithDeadline(client, now.Add(left))
	defer cancel()
	return do(ctx, &dispatch.Call{
		ID: "id", Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"id"}}, Route: &route,
		Service: "svc", Arrived: now, Deadline: now.Add(left), HasKey: true, Key: 7,
	})
}

// ampleBudget never runs out in these tests.
var ampleBudget = retry.Limit{RetriesPerRequest: 1, Burst: 100, Initial: 100}

// Guards against sending a request that must not run twice again after a server may have run it,
// and against not sending one again that was not run or is idempotent. The first server closes the
// connection, answers with status 500 or states that it did not run the request.
func TestRetryByKind(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   traffic.Kind
		first  func(int, http.ResponseWriter, *http.Request)
		second int
		status int
	}{
		{"idempotent, connection closed", traffic.Idempotent, handleAbort, 1, 200},
		{"idempotent, status 500", traffic.Idempotent, handleError, 1, 200},
		{"idempotent, not run", traffic.Idempotent, handleNotRun, 1, 200},
		{"non-idempotent, connection closed", traffic.NonIdempotent, handleAbort, 0, 502},
		{"non-idempotent, status 500", traffic.NonIdempotent, handleError, 0, 500},
		{"non-idempotent, not run", traffic.NonIdempotent, handleNotRun, 1, 200},
		{"upload, connection closed", traffic.Upload, handleAbort, 0, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newServer(t, "a", c.first), newServer(t, "b", handleOK)
			f := newFixture(t, false, unlimited{}, ampleBudget, a, b)
			r := f.call(c.kind)
			must.Eq(t, c.status, r.Status)
			must.Eq(t, 1, a.requests())
			must.Eq(t, c.second, b.requests())
		})
	}
}

// Guards against more attempts than the route allows, and against retries beyond the retry budget.
func TestRetryLimits(t *testing.T) {
	a, b, c := newServer(t, "a", handleNotRun), newServer(t, "b", handleNotRun), newServer(t, "c", handleNotRun)
	r := newFixture(t, false, unlimited{}, ampleBudget, a, b, c).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, 2, a.requests()+b.requests()+c.requests())
	a, b = newServer(t, "a", handleNotRun), newServer(t, "b", handleNotRun)
	r = newFixture(t, false, unlimited{}, retry.Limit{Burst: 1}, a, b).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, 1, a.requests()+b.requests())
}

// Guards against a 503, which promises that the request was not run, after an earlier attempt may
// have run it: the first server closes the connection, the second refuses.
func TestNo503AfterPossibleRun(t *testing.T) {
	a, b := newServer(t, "a", handleAbort), newServer(t, "b", handleNotRun)
	r := newFixture(t, false, unlimited{}, ampleBudget, a, b).call(traffic.Idempotent)
	must.Eq(t, http.StatusBadGateway, r.Status)
}

// Guards against sending a request to a server that has no slot in time, and against a refusal that
// comes later than necessary.
func TestNoSlot(t *testing.T) {
	a := newServer(t, "a", handleOK)
	begin := time.Now()
	r := newFixture(t, false, noSlots{}, ampleBudget, a).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, dispatch.NoServer, r.Reason)
	must.Eq(t, 0, a.requests())
	must.Less(t, 500*time.Millisecond, time.Since(begin))
}

// Guards against refusing a request for a moving key or sending it to the old owner.
func TestMovingKey(t *testing.T) {
	a, b := newServer(t, "a", handleOK), newServer(t, "b", handleOK)
	f := newFixture(t, true, unlimited{}, ampleBudget, a, b)
	f.setOwner(a, false)
	must.Eq(t, 200, f.call(traffic.NonIdempotent).Status)
	f.setOwner(b, true)
	time.AfterFunc(100*time.Millisecond, func() { f.setOwner(b, false) })
	must.Eq(t, 200, f.call(traffic.NonIdempotent).Status)
	must.Eq(t, 1, a.requests())
	must.Eq(t, 1, b.requests())
}

// Guards against the failure of a request that reaches a server just after it has given up the
// key. The server answers 421, and the request must go to the new owner.
func TestMisdirectedRequest(t *testing.T) {
	for name, move := range map[string]func(setOwner func()){
		"table changes before the response": func(setOwner func()) { setOwner() },
		"table changes after the response":  func(setOwner func()) { time.AfterFunc(10*time.Millisecond, setOwner) },
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			b := newServer(t, "b", handleOK)
			a := newServer(t, "a", func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					move(func() { f.setOwner(b, false) })
				}
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
			f = newFixture(t, true, unlimited{}, ampleBudget, a, b)
			f.setOwner(a, false)
			must.Eq(t, 200, f.call(traffic.NonIdempotent).Status)
			must.Eq(t, 1, b.requests())
		})
	}
}

// Guards against passing a response to the client that lacks the server's proof or has a content
// encoding, which a proxy on the way may have added.
func TestUnverifiedResponse(t *testing.T) {
	for i, handle := range []func(int, http.ResponseWriter, *http.Request){
		func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
		func(n int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			handleOK(n, w, r)
		},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			a := newServer(t, "a", handle)
			must.Eq(t, http.StatusBadGateway, newFixture(t, false, unlimited{}, ampleBudget, a).call(traffic.NonIdempotent).Status)
		})
	}
}

// Guards against requests that wait for an owner to which no connection can be opened.
func TestUnreachableOwner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gone := &testServer{}
	gone.ID, gone.Incarnation, gone.Service, gone.Slots = "gone", 1, "svc", 4
	gone.Address = netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	f := newFixture(t, true, unlimited{}, ampleBudget, gone)
	f.setOwner(gone, false)
	begin := time.Now()
	for range 3 {
		r := f.call(traffic.NonIdempotent)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.False(t, r.RetryAt.IsZero())
	}
	must.Less(t, 600*time.Millisecond, time.Since(begin))
}

// fakeCrashTracker counts the recorded crashes and blocks a request after the first.
type fakeCrashTracker struct {
	noTracking
	mu      sync.Mutex
	crashes map[suspect.Fingerprint]int
}

func (c *fakeCrashTracker) RecordCrash(_ time.Time, f suspect.Fingerprint, _ registry.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[f]++
}

func (c *fakeCrashTracker) IsBlocked(_ time.Time, f suspect.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes[f] > 0
}

// Guards against a request that crashes one server after the other. The server reads one byte of
// the request, then closes its listener and the connection, as if it had crashed.
func TestCrashingRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &testServer{}
	s.ID, s.Incarnation, s.Service, s.Slots, s.DataCentre = "a", 1, "svc", 4, "x"
	s.Address = netip.MustParseAddrPort(l.Addr().String())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_ = l.Close()
		_ = c.Close()
	}()
	f := newFixture(t, false, unlimited{}, ampleBudget, s)
	tracker := &fakeCrashTracker{crashes: make(map[suspect.Fingerprint]int)}
	f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, tracker, noTracking{}, noTracking{}, noTracking{})
	must.Eq(t, http.StatusBadGateway, f.call(traffic.NonIdempotent).Status)
	r := f.call(traffic.NonIdempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, dispatch.CrashesServers, r.Reason)
}

// disconnectingLimiter gives out a slot only after it has disconnected the client.
type disconnectingLimiter struct {
	unlimited
	disconnect context.CancelFunc
}

func (l disconnectingLimiter) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	l.disconnect()
	return unlimitedSlot{}, nil
}

// Guards against sending a request whose client has disconnected while it waited for a slot, and
// against aborting a request that must not run twice because its client disconnects after the
// request was sent.
func TestClientDisconnects(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent, traffic.Upload} {
		client, disconnect := context.WithCancel(t.Context())
		a := newServer(t, "a", handleOK)
		r := newFixture(t, false, disconnectingLimiter{disconnect: disconnect}, ampleBudget, a).callFor(client, kind)
		must.Eq(t, dispatch.ClientDisconnected, r.Reason)
		must.Eq(t, 0, a.requests())

		client, disconnect = context.WithCancel(t.Context())
		b := newServer(t, "b", func(_ int, w http.ResponseWriter, r *http.Request) {
			disconnect()
			if kind.Retryable() {
				<-r.Context().Done()
				return
			}
			// A dispatcher that aborts the request closes the connection within this time.
			select {
			case <-r.Context().Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			w.Header().Set("Proof", "s")
			_, _ = io.WriteString(w, "served")
		})
		r = newFixture(t, false, unlimited{}, ampleBudget, b).callFor(client, kind)
		must.Eq(t, 1, b.requests())
		if kind.Retryable() {
			must.Eq(t, dispatch.ClientDisconnected, r.Reason)
		} else {
			must.Eq(t, dispatch.Answered, r.Reason)
		}
	}
}

// unregisteringLimiter gives out a slot of server a only after it has unregistered the server.
type unregisteringLimiter struct {
	unlimited
	unregister func()
}

func (l unregisteringLimiter) Acquire(_ context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	if r.Server.ID == "a" {
		l.unregister()
	}
	return unlimitedSlot{}, nil
}

// Guards against sending a request to a server that began to drain, or was unregistered, while the
// request waited for its slot.
func TestServerLeavesDuringWait(t *testing.T) {
	for _, draining := range []bool{true, false} {
		a, b := newServer(t, "a", handleOK), newServer(t, "b", handleOK)
		var f *fixture
		f = newFixture(t, false, unregisteringLimiter{unregister: func() {
			remaining := []registry.Server{b.Server}
			if draining {
				leaving := a.Server
				leaving.Draining = true
				remaining = append(remaining, leaving)
			}
			f.view.SetServers(time.Now(), remaining)
		}}, ampleBudget, a, b)
		must.Eq(t, http.StatusOK, f.call(traffic.Upload).Status)
		must.Eq(t, 0, a.requests())
		must.Eq(t, 1, b.requests())
	}
}

// waitingLimiter has no slot until the wait is given up; begun receives a value for each wait.
type waitingLimiter struct {
	unlimited
	begun chan dispatch.SlotRequest
}

func (l waitingLimiter) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	l.begun <- r
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// Guards against a request that waits for a slot or an owner beyond the end of a process that stops.
func TestShutdownEndsWaits(t *testing.T) {
	for _, sharded := range []bool{false, true} {
		a := newServer(t, "a", handleOK)
		l := waitingLimiter{begun: make(chan dispatch.SlotRequest, 1)}
		f := newFixture(t, sharded, l, ampleBudget, a)
		shutdown := dispatch.Shutdown{LastArrival: time.Now().Add(time.Minute), LastStart: time.Now().Add(20 * time.Millisecond), GiveUp: time.Now().Add(time.Minute), End: time.Now().Add(time.Minute)}
		if sharded {
			f.setOwner(a, true)
		}
		f.dispatcher.Stop(shutdown)
		r := f.call(traffic.Upload)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.Eq(t, dispatch.Stopping, r.Reason)
		must.False(t, r.RetryAt.IsZero())
		must.Eq(t, 0, a.requests())
	}
}

// Guards against a shutdown that aborts a request which a server is running.
func TestShutdownKeepsRunningRequests(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent, traffic.Upload} {
		var f *fixture
		a := newServer(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
			f.dispatcher.Stop(dispatch.Shutdown{LastArrival: time.Now(), LastStart: time.Now().Add(-time.Second), GiveUp: time.Now().Add(time.Minute), End: time.Now()})
			// A dispatcher that aborts the request closes the connection within this time.
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
			handleOK(n, w, r)
		})
		f = newFixture(t, false, unlimited{}, ampleBudget, a)
		must.Eq(t, http.StatusOK, f.call(kind).Status)
	}
}

// Guards against a request that ends without an answer because its server is silent until the process
// ends, and against a refusal of a request that may have run.
func TestShutdownGivesUpRequests(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent, traffic.Upload} {
		var f *fixture
		reset := make(chan struct{})
		a := newServer(t, "a", func(_ int, _ http.ResponseWriter, r *http.Request) {
			now := time.Now()
			f.dispatcher.Stop(dispatch.Shutdown{LastArrival: now, LastStart: now, GiveUp: now.Add(50 * time.Millisecond), End: now.Add(time.Minute)})
			<-r.Context().Done()
			close(reset)
		})
		f = newFixture(t, false, unlimited{}, ampleBudget, a)
		r := f.call(kind)
		must.Eq(t, http.StatusGatewayTimeout, r.Status)
		must.Eq(t, dispatch.GivenUp, r.Reason)
		must.Eq(t, 1, a.requests())
		<-reset
	}
}

// Guards against requests that are sent to a server after the last start because they don't have to wait.
func TestShutdownSendsNothingAfterLastStart(t *testing.T) {
	a := newServer(t, "a", handleOK)
	f := newFixture(t, false, unlimited{}, ampleBudget, a)
	f.dispatcher.Stop(dispatch.Shutdown{LastArrival: time.Now().Add(time.Minute), LastStart: time.Now().Add(-time.Second), GiveUp: time.Now().Add(time.Second), End: time.Now().Add(time.Second)})
	for range 50 {
		r := f.call(traffic.Upload)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.Eq(t, dispatch.Stopping, r.Reason)
	}
	must.Eq(t, 0, a.requests())
}

// Guards against a request that comes when the balancer sends none any more and is broken off when the process gives up,
// although another process could serve it, and against a refusal of one that ends before that for certain.
func TestShutdownSendsNoLateRequestThatMayBeGivenUp(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		a := newServer(t, "a", handleOK)
		f := newFixture(t, false, unlimited{}, ampleBudget, a)
		now := time.Now()
		// The calls end within one second.
		f.dispatcher.Stop(dispatch.Shutdown{LastArrival: now, LastStart: now.Add(time.Minute), GiveUp: now.Add(900 * time.Millisecond), End: now.Add(time.Minute)})
		r := f.callWith(relayed, traffic.Idempotent, time.Second)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.Eq(t, dispatch.Stopping, r.Reason)
		must.Less(t, time.Second, time.Until(r.RetryAt))
		must.Eq(t, 0, a.requests())
		r = f.callWith(relayed, traffic.Idempotent, 500*time.Millisecond)
		must.Eq(t, http.StatusOK, r.Status)
	}
}

// stoppingLimiter stops the dispatcher before it returns a slot.
type stoppingLimiter struct {
	unlimited
	stop func()
}

func (l stoppingLimiter) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	l.stop()
	<-time.After(time.Millisecond)
	return unlimitedSlot{}, nil
}

// Guards against a refusal of a request that came while the balancer still sent clients, because it has waited for a
// slot or because its first attempt failed.
func TestShutdownSendsRequestInTime(t *testing.T) {
	var f *fixture
	stop := func() {
		now := time.Now()
		f.dispatcher.Stop(dispatch.Shutdown{LastArrival: now, LastStart: now.Add(time.Minute), GiveUp: now.Add(500 * time.Millisecond), End: now.Add(time.Minute)})
	}
	for _, l := range []dispatch.Limiter{unlimited{}, stoppingLimiter{stop: stop}} {
		a := newServer(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
			if _, fails := l.(unlimited); fails && n == 1 {
				stop()
				handleNotRun(n, w, r)
				return
			}
			handleOK(n, w, r)
		})
		b := newServer(t, "b", handleOK)
		f = newFixture(t, false, l, ampleBudget, a, b)
		must.Eq(t, http.StatusOK, f.call(traffic.Idempotent).Status)
	}
}

// Guards against a refusal, which promises that the request was not run, after a server has run it and
// answered 503 itself.
func TestNoRefusalAfterServerAnswered503(t *testing.T) {
	a := newServer(t, "a", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "s")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newFixture(t, false, unlimited{}, ampleBudget, a).call(traffic.Idempotent)
	must.Eq(t, 1, a.requests())
	must.Eq(t, dispatch.Answered, r.Reason)
	must.NotNil(t, r.Response)
}

// Guards against a wait for a slot so long that the response would come after the end of the process.
func TestShutdownBoundsSlotRequests(t *testing.T) {
	a := newServer(t, "a", handleOK)
	l := waitingLimiter{begun: make(chan dispatch.SlotRequest, 1)}
	f := newFixture(t, false, l, ampleBudget, a)
	now := time.Now()
	f.dispatcher.Stop(dispatch.Shutdown{LastArrival: now.Add(time.Minute), LastStart: now.Add(50 * time.Millisecond), GiveUp: now.Add(100 * time.Millisecond), End: now.Add(100 * time.Millisecond)})
	must.Eq(t, dispatch.Stopping, f.call(traffic.Upload).Reason)
	r := <-l.begun
	must.Eq(t, now.Add(100*time.Millisecond), r.Objective)
	must.Eq(t, now.Add(100*time.Millisecond), r.Deadline)
}

// limitedSlots is a limiter that has no slot of some servers because of their request limits.
type limitedSlots struct {
	unlimited
	retryAt  map[string]time.Time
	outcomes chan dispatch.Outcome
}

func (l limitedSlots) Acquire(_ context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	at, ok := l.retryAt[r.Server.ID]
	if !ok {
		return outcomeSlot(l), nil
	}
	return nil, &dispatch.RefusalError{RetryAt: at, OverLimit: true, Limit: requestlimit.Limit{PerSecond: 3, InForce: true}}
}

// outcomeSlot records the outcome with which it is returned.
type outcomeSlot limitedSlots

func (s outcomeSlot) Release(o dispatch.Outcome) { s.outcomes <- o }

// Guards against a request that is refused although another server takes it, against a Retry-After after
// which the servers still refuse it, and against one of a sharded service that is longer than it takes to
// move the key.
func TestOverLimit(t *testing.T) {
	soon, later := time.Now().Add(2*time.Second), time.Now().Add(4*time.Second)
	for _, c := range []struct {
		name    string
		sharded bool
		retryAt map[string]time.Time
		status  int
		latest  time.Duration
	}{
		{"another server", false, map[string]time.Time{"a": soon}, 200, 0},
		{"all limited", false, map[string]time.Time{"a": later, "b": soon}, 503, 2 * time.Second},
		{"sharded", true, map[string]time.Time{"a": soon}, 503, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newServer(t, "a", handleOK), newServer(t, "b", handleOK)
			f := newFixture(t, c.sharded, limitedSlots{retryAt: c.retryAt, outcomes: make(chan dispatch.Outcome, 1)}, ampleBudget, a, b)
			f.setOwner(a, false)
			r := f.call(traffic.NonIdempotent)
			must.Eq(t, c.status, r.Status)
			if c.status == 200 {
				return
			}
			must.Eq(t, dispatch.OverLimit, r.Reason)
			must.Eq(t, 3, r.Limit.PerSecond)
			must.Eq(t, 0, r.Attempts)
			must.Between(t, c.latest-100*time.Millisecond, time.Until(r.RetryAt), c.latest)
		})
	}
}

// Guards against an answer whose limit is not noticed, and against one that seems to end a limit although
// the server has not run the request.
func TestLimitInAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		handle  func(int, http.ResponseWriter, *http.Request)
		reading requestlimit.Reading
	}{
		{"served", handleOK, requestlimit.Reading{Silent: true}},
		{"status 500", handleError, requestlimit.Reading{Silent: true}},
		{"rejected", handleNotRun, requestlimit.Reading{}},
		{"closed", handleAbort, requestlimit.Reading{}},
		{"without proof", func(_ int, w http.ResponseWriter, _ *http.Request) { w.Header().Set("Limit", "9") }, requestlimit.Reading{}},
		{"limited", func(n int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Limit", "2.5")
			handleOK(n, w, r)
		}, requestlimit.Reading{Named: true, PerSecond: 2.5}},
		{"rejected, limited", func(n int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Limit", "0")
			handleNotRun(n, w, r)
		}, requestlimit.Reading{Named: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := limitedSlots{outcomes: make(chan dispatch.Outcome, 1)}
			newFixture(t, false, l, ampleBudget, newServer(t, "a", c.handle)).call(traffic.NonIdempotent)
			must.Eq(t, c.reading, (<-l.outcomes).Limit)
		})
	}
}

// Guards against a second copy of a rejection that is taken for the answer to the request when it is sent
// again: the caller would be told that the request was not run while it runs.
func TestRepeatedRejection(t *testing.T) {
	const rejected = "HTTP/1.1 421 Misdirected Request\r\nId: id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	var mu sync.Mutex
	requests, ran := 0, 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for onConnection := 1; ; onConnection++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					mu.Lock()
					requests++
					first := requests == 1
					if !first {
						ran++
					}
					mu.Unlock()
					answer := rejected
					if !first {
						answer = "HTTP/1.1 200 OK\r\nId: id\r\nProof: s\r\nContent-Length: 6\r\n\r\nserved"
						if onConnection > 1 {
							answer = rejected + answer
						}
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	s := &testServer{}
	s.ID, s.Incarnation, s.Service, s.Slots, s.DataCentre = "a", 1, "svc", 4, "x"
	s.Address = netip.MustParseAddrPort(l.Addr().String())
	f := newFixture(t, true, unlimited{}, ampleBudget, s)
	f.setOwner(s, false)
	r := f.call(traffic.NonIdempotent)
	mu.Lock()
	defer mu.Unlock()
	must.Eq(t, 1, ran)
	must.Eq(t, http.StatusOK, r.Status)
}

// Guards against idle connections of all processes together that take the connections of a server, which
// resets the next ones with the requests on them.
func TestIdleConnectionsOfAllProcesses(t *testing.T) {
	const processes, concurrent, connections = 30, 4, 40
	var mu sync.Mutex
	open := make(map[net.Conn]bool)
	var running sync.WaitGroup
	h := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// All requests of a process run at the same time, so that each has a connection of its own.
		running.Done()
		running.Wait()
		w.Header().Set("Id", r.Header.Get("Id"))
		handleOK(0, w, r)
	}))
	h.Config.ConnState = func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open[c] = true
		case http.StateClosed:
			delete(open, c)
		}
	}
	h.Start()
	t.Cleanup(h.Close)
	s := &testServer{}
	s.ID, s.Incarnation, s.Service, s.Slots, s.DataCentre = "a", 1, "svc", 4, "x"
	s.Address = netip.MustParseAddrPort(h.Listener.Addr().String())
	for range processes {
		f := newFixture(t, false, unlimited{}, ampleBudget, s)
		c, err := traffic.New(2, []traffic.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, WeightedServices: []traffic.WeightedService{{Service: "svc", Weight: 1}}}},
			map[string]traffic.Service{"svc": {Name: "svc", Connections: connections}}, traffic.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
		must.NoError(t, err)
		f.view.SetConfiguration(c)
		f.dispatcher.SetProcesses(processes)
		running.Add(concurrent)
		var group sync.WaitGroup
		for range concurrent {
			group.Go(func() { must.Eq(t, 200, f.call(traffic.Idempotent).Status) })
		}
		group.Wait()
	}
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(open) <= connections
	})), must.Func(func() string { return fmt.Sprint(len(open), " connections are open") }))
}

// Guards against a request that is given up or sent again because its server, which still works on it, is
// missing from the list of servers for a while.
func TestUnregisteredServerKeepsRunningRequest(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	a := newServer(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		handleOK(n, w, r)
	})
	b := newServer(t, "b", handleOK)
	f := newFixture(t, false, unlimited{}, ampleBudget, a)
	result := make(chan *dispatch.Result, 1)
	go func() { result <- f.call(traffic.Idempotent) }()
	<-started
	f.view.SetServers(time.Now(), []registry.Server{b.Server})
	must.Eq(t, http.StatusOK, f.call(traffic.Idempotent).Status)
	close(finish)
	r := <-result
	must.Eq(t, http.StatusOK, r.Status)
	must.Eq(t, "a", r.Server)
	must.Eq(t, 1, b.requests())
}
