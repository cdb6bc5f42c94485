package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/view"
)

// fields are header fields of a platform of the tests.
type fields struct{}

func (fields) ID(h http.Header) string { return h.Get("Id") }
func (fields) IsOwn(string) bool       { return false }
func (fields) Mark(add func(name, value string), left time.Duration, server string) {
	add("Left", left.String())
	add("Server", server)
}

func (fields) NotRun(status int, h http.Header) bool {
	return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}
func (fields) Complete(h http.Header) bool { return h.Get("Proof") != "" }

// server is a backend server whose answers are given by a function of the number of its requests.
type server struct {
	registry.Server
	mu      sync.Mutex
	arrived int
}

func newServer(t *testing.T, id string, handle func(n int, w http.ResponseWriter, r *http.Request)) *server {
	s := &server{}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.arrived++
		n := s.arrived
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		handle(n, w, r)
	}))
	t.Cleanup(h.Close)
	s.ID, s.Incarnation, s.Service, s.Slots, s.DataCentre = id, 1, "svc", 4, "x"
	s.Address = netip.MustParseAddrPort(h.Listener.Addr().String())
	return s
}

func (s *server) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

func served(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "s")
	_, _ = io.WriteString(w, "served")
}

func shed(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func broken(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func failing(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

// openGate has slots without end.
type openGate struct{}

func (openGate) Enter(context.Context, dispatch.Admission) (dispatch.Slot, error) {
	return openSlot{}, nil
}
func (openGate) Wait(dispatch.Admission) time.Duration { return 0 }

type openSlot struct{}

func (openSlot) Leave(time.Duration) {}

// fullGate has no slot.
type fullGate struct{ openGate }

func (fullGate) Enter(context.Context, dispatch.Admission) (dispatch.Slot, error) {
	return nil, &dispatch.RefusalError{RetryAt: time.Now().Add(time.Second)}
}

type nobody struct{}

func (nobody) Served(dispatch.Observation)                   {}
func (nobody) Condemned(time.Time, suspect.Fingerprint) bool { return false }
func (nobody) Crashed(suspect.Fingerprint, registry.Life)    {}
func (nobody) Answered(suspect.Fingerprint)                  {}

// world is a dispatcher with its servers.
type world struct {
	t          *testing.T
	view       *view.View
	dispatcher *dispatch.Dispatcher
	revision   uint64
}

func newWorld(t *testing.T, sharded bool, g dispatch.Gate, l retry.Limit, servers ...*server) *world {
	v := view.New()
	c, err := traffic.New(1, []traffic.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, Backends: []traffic.Backend{{Service: "svc", Weight: 1}}}},
		map[string]traffic.Service{"svc": {Name: "svc", Sharded: sharded}}, traffic.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.NoError(t, err)
	v.SetConfiguration(c)
	var list []registry.Server
	for _, s := range servers {
		list = append(list, s.Server)
	}
	v.SetServers(time.Now(), list)
	return &world{t: t, view: v, dispatcher: dispatch.New(v, g, retry.New(l), &net.Dialer{}, fields{}, "x", nobody{}, nobody{})}
}

// own gives all keys to a server, or marks them as moving to it.
func (w *world) own(s *server, moving bool) {
	w.revision++
	held := ownership.Server{Life: s.Life, Address: s.Address.String()}
	a := ownership.Assignment{Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{held}}
	if moving {
		a.Target = &held
	}
	w.view.SetTable(&ownership.Table{Service: "svc", Revision: w.revision, Assignments: []ownership.Assignment{a}})
}

func (w *world) call(kind traffic.Kind) *dispatch.Result { return w.callFor(w.t.Context(), kind) }

// callFor makes a call for a client that leaves when the context ends.
func (w *world) callFor(client context.Context, kind traffic.Kind) *dispatch.Result {
	route := *w.view.Configuration().Match("h", "/x")
	route.Kind, route.Objective = kind, 500*time.Millisecond
	now := time.Now()
	ctx, cancel := context.WithDeadline(client, now.Add(time.Second))
	defer cancel()
	return w.dispatcher.Do(ctx, &dispatch.Call{
		ID: "id", Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"id"}}, Route: &route,
		Service: "svc", Arrived: now, Deadline: now.Add(time.Second), HasKey: true, Key: 7,
	})
}

var plenty = retry.Limit{Share: 1, Burst: 100, Start: 100}

// Guards against a second run of a request that must not run twice, and against giving up on one
// that may: a server that breaks off, one that fails, and one that did not run it.
func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   traffic.Kind
		first  func(int, http.ResponseWriter, *http.Request)
		second int
		status int
	}{
		{"idempotent, broken off", traffic.Idempotent, broken, 1, 200},
		{"idempotent, failed", traffic.Idempotent, failing, 1, 200},
		{"idempotent, shed", traffic.Idempotent, shed, 1, 200},
		{"final, broken off", traffic.NonIdempotent, broken, 0, 502},
		{"final, failed", traffic.NonIdempotent, failing, 0, 500},
		{"final, shed", traffic.NonIdempotent, shed, 1, 200},
		{"upload, broken off", traffic.Upload, broken, 0, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newServer(t, "a", c.first), newServer(t, "b", served)
			w := newWorld(t, false, openGate{}, plenty, a, b)
			r := w.call(c.kind)
			must.Eq(t, c.status, r.Status)
			must.Eq(t, 1, a.requests())
			must.Eq(t, c.second, b.requests())
		})
	}
}

// Guards against more servers than the route's attempts, and repeats beyond the budget.
func TestBounds(t *testing.T) {
	a, b, c := newServer(t, "a", shed), newServer(t, "b", shed), newServer(t, "c", shed)
	r := newWorld(t, false, openGate{}, plenty, a, b, c).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, 2, a.requests()+b.requests()+c.requests())
	a, b = newServer(t, "a", shed), newServer(t, "b", shed)
	r = newWorld(t, false, openGate{}, retry.Limit{Burst: 1}, a, b).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, 1, a.requests()+b.requests())
}

// Guards against a refusal that promises "not run" after a server may have run the request.
func TestNoPromiseAfterSend(t *testing.T) {
	a, b := newServer(t, "a", broken), newServer(t, "b", shed)
	r := newWorld(t, false, openGate{}, plenty, a, b).call(traffic.Idempotent)
	must.Eq(t, http.StatusBadGateway, r.Status)
}

// Guards against requests that a server without a slot in time gets all the same, and against an
// answer later than needed.
func TestFull(t *testing.T) {
	a := newServer(t, "a", served)
	begin := time.Now()
	r := newWorld(t, false, fullGate{}, plenty, a).call(traffic.Idempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, dispatch.NoServer, r.Reason)
	must.Eq(t, 0, a.requests())
	must.Less(t, 500*time.Millisecond, time.Since(begin))
}

// Guards against requests for a moving key being refused or sent to its old owner.
func TestMovingKey(t *testing.T) {
	a, b := newServer(t, "a", served), newServer(t, "b", served)
	w := newWorld(t, true, openGate{}, plenty, a, b)
	w.own(a, false)
	must.Eq(t, 200, w.call(traffic.NonIdempotent).Status)
	w.own(b, true)
	time.AfterFunc(100*time.Millisecond, func() { w.own(b, false) })
	must.Eq(t, 200, w.call(traffic.NonIdempotent).Status)
	must.Eq(t, 1, a.requests())
	must.Eq(t, 1, b.requests())
}

// Guards against a request that is lost because the owner has just given up the key.
func TestDisowned(t *testing.T) {
	a := newServer(t, "a", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	b := newServer(t, "b", served)
	w := newWorld(t, true, openGate{}, plenty, a, b)
	w.own(a, false)
	time.AfterFunc(100*time.Millisecond, func() { w.own(b, false) })
	must.Eq(t, 200, w.call(traffic.NonIdempotent).Status)
	must.Eq(t, 1, b.requests())
}

// Guards against an answer that lacks the server's proof, or was encoded on the way, reaching a client.
func TestUnprovedAnswer(t *testing.T) {
	for i, handle := range []func(int, http.ResponseWriter, *http.Request){
		func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
		func(n int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			served(n, w, r)
		},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			a := newServer(t, "a", handle)
			must.Eq(t, http.StatusBadGateway, newWorld(t, false, openGate{}, plenty, a).call(traffic.NonIdempotent).Status)
		})
	}
}

// Guards against requests that wait for a server that is gone.
func TestUnreachableOwner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gone := &server{}
	gone.ID, gone.Incarnation, gone.Service, gone.Slots = "gone", 1, "svc", 4
	gone.Address = netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	w := newWorld(t, true, openGate{}, plenty, gone)
	w.own(gone, false)
	begin := time.Now()
	for range 3 {
		r := w.call(traffic.NonIdempotent)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.False(t, r.RetryAt.IsZero())
	}
	must.Less(t, 600*time.Millisecond, time.Since(begin))
}

// crashLog keeps the crashes that a dispatcher notes and condemns after the first.
type crashLog struct {
	nobody
	mu      sync.Mutex
	crashed map[suspect.Fingerprint]int
}

func (c *crashLog) Crashed(f suspect.Fingerprint, _ registry.Life) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed[f]++
}

func (c *crashLog) Condemned(_ time.Time, f suspect.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashed[f] > 0
}

// Guards against a request that crashes one server after the other.
func TestCrashingRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &server{}
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
	w := newWorld(t, false, openGate{}, plenty, s)
	log := &crashLog{crashed: make(map[suspect.Fingerprint]int)}
	w.dispatcher = dispatch.New(w.view, openGate{}, retry.New(plenty), &net.Dialer{}, fields{}, "x", nobody{}, log)
	must.Eq(t, http.StatusBadGateway, w.call(traffic.NonIdempotent).Status)
	r := w.call(traffic.NonIdempotent)
	must.Eq(t, http.StatusServiceUnavailable, r.Status)
	must.Eq(t, dispatch.Suspect, r.Reason)
}

// leavingGate has a slot only after the client has left.
type leavingGate struct {
	openGate
	leave context.CancelFunc
}

func (g leavingGate) Enter(context.Context, dispatch.Admission) (dispatch.Slot, error) {
	g.leave()
	return openSlot{}, nil
}

// Guards against requests, final actions too, that are sent after their clients have left, and
// against a final action that is broken off because its client leaves after it has begun.
func TestClientLeaves(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent, traffic.Upload} {
		client, leave := context.WithCancel(t.Context())
		a := newServer(t, "a", served)
		r := newWorld(t, false, leavingGate{leave: leave}, plenty, a).callFor(client, kind)
		must.Eq(t, dispatch.Left, r.Reason)
		must.Eq(t, 0, a.requests())

		client, leave = context.WithCancel(t.Context())
		b := newServer(t, "b", func(_ int, w http.ResponseWriter, r *http.Request) {
			leave()
			if kind.Repeatable() {
				<-r.Context().Done()
				return
			}
			// A dispatcher that breaks the action off closes the connection within this time.
			select {
			case <-r.Context().Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			w.Header().Set("Proof", "s")
			_, _ = io.WriteString(w, "served")
		})
		r = newWorld(t, false, openGate{}, plenty, b).callFor(client, kind)
		must.Eq(t, 1, b.requests())
		if kind.Repeatable() {
			must.Eq(t, dispatch.Left, r.Reason)
		} else {
			must.Eq(t, dispatch.Answered, r.Reason)
		}
	}
}

// departingGate has a slot only after the server has begun to leave.
type departingGate struct {
	openGate
	depart func()
}

func (g departingGate) Enter(_ context.Context, a dispatch.Admission) (dispatch.Slot, error) {
	if a.Server.ID == "a" {
		g.depart()
	}
	return openSlot{}, nil
}

// Guards against requests that wait for a slot of a server and are sent to it after it has said
// that it leaves, or whose entry is gone.
func TestServerLeavesMeanwhile(t *testing.T) {
	for _, draining := range []bool{true, false} {
		a, b := newServer(t, "a", served), newServer(t, "b", served)
		var w *world
		w = newWorld(t, false, departingGate{depart: func() {
			left := []registry.Server{b.Server}
			if draining {
				gone := a.Server
				gone.Draining = true
				left = append(left, gone)
			}
			w.view.SetServers(time.Now(), left)
		}}, plenty, a, b)
		must.Eq(t, http.StatusOK, w.call(traffic.Upload).Status)
		must.Eq(t, 0, a.requests())
		must.Eq(t, 1, b.requests())
	}
}
