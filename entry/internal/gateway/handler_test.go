package gateway_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/bounds"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

// testHeaderFields implements gateway.HeaderFields with short header field names.
type testHeaderFields struct{}

func (testHeaderFields) ID(h http.Header) string { return h.Get("Id") }
func (testHeaderFields) Deadline(now time.Time, h http.Header) (time.Time, bool) {
	ms, err := strconv.Atoi(h.Get("Left"))
	return now.Add(time.Duration(ms) * time.Millisecond), err == nil
}

func (testHeaderFields) Key(h http.Header) (keyspace.Key, bool) {
	k, err := strconv.ParseUint(h.Get("Key"), 10, 16)
	return keyspace.Key(k), err == nil
}
func (testHeaderFields) RemoveProof(h http.Header) { h.Del("Proof") }

// fakeDispatcher returns the result of a function for each call and keeps the calls.
type fakeDispatcher struct {
	mu     sync.Mutex
	calls  []*dispatch.Call
	result func(ctx context.Context, c *dispatch.Call) *dispatch.Result
}

func (d *fakeDispatcher) Do(ctx context.Context, c *dispatch.Call) *dispatch.Result {
	d.mu.Lock()
	d.calls = append(d.calls, c)
	d.mu.Unlock()
	return d.result(ctx, c)
}

func (d *fakeDispatcher) RecordRequest(string, keyspace.Key) {}

func respondWith(status int, header http.Header, body string) func(context.Context, *dispatch.Call) *dispatch.Result {
	return func(context.Context, *dispatch.Call) *dispatch.Result {
		return &dispatch.Result{Status: status, Reason: dispatch.Answered, Response: &origin.Response{Status: status, Header: header.Clone(), Body: []byte(body), HasServerProof: true}}
	}
}

// startHandler serves a handler with the routes; without routes it has no configuration.
func startHandler(t *testing.T, d *fakeDispatcher, routes ...traffic.Route) (*httptest.Server, *gateway.Handler) {
	s, h, _ := startLoggedHandler(t, d, routes...)
	return s, h
}

// startLoggedHandler is startHandler with the log entries of the handler.
func startLoggedHandler(t *testing.T, d *fakeDispatcher, routes ...traffic.Route) (*httptest.Server, *gateway.Handler, *memory.Handler) {
	v := view.New()
	if len(routes) > 0 {
		c, err := traffic.New(1, routes, map[string]traffic.Service{"a": {Name: "a"}, "b": {Name: "b"}},
			traffic.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Second})
		must.NoError(t, err)
		v.SetConfiguration(c)
	}
	logs := memory.New()
	h := gateway.New(v, d, testHeaderFields{}, d, gateway.NewCounters(new(expvar.Map)), testBounds(t), &log.Logger{Handler: logs})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s, h, logs
}

func newRoute(kind traffic.Kind, services ...traffic.WeightedService) traffic.Route {
	if len(services) == 0 {
		services = []traffic.WeightedService{{Service: "a", Weight: 1}}
	}
	return traffic.Route{Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Attempts: 1, Timeout: 500 * time.Millisecond, WeightedServices: services}
}

// sendRaw sends a text on a new connection and returns the responses of the next 3 s.
func sendRaw(t *testing.T, s *httptest.Server, text string) []*http.Response {
	return sendRawUntil(t, s, text, time.Now().Add(3*time.Second))
}

func sendRawUntil(t *testing.T, s *httptest.Server, text string, deadline time.Time) []*http.Response {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(deadline))
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	r := bufio.NewReader(c)
	var out []*http.Response
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return out
		}
		out = append(out, response)
		if response.Close {
			return out
		}
	}
}

func getRequest(path, fields string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + fields + "\r\n"
}

// Guards against a 404 from a process that has no configuration yet, and against prefixes that match
// part of a path element.
func TestRoutes(t *testing.T) {
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	empty, _ := startHandler(t, d)
	responses := sendRaw(t, empty, getRequest("/p/x", "Id: 1\r\n"))
	must.Eq(t, http.StatusServiceUnavailable, responses[0].StatusCode)
	must.NotEq(t, "", responses[0].Header.Get("Retry-After"))
	s, _ := startHandler(t, d, newRoute(traffic.Idempotent))
	for path, status := range map[string]int{"/p/x": 200, "/p/": 200, "/p": 404, "/px/": 404, "/": 404, "/p/x?q=/p/": 200} {
		must.Eq(t, status, sendRaw(t, s, getRequest(path, "Id: 1\r\n"))[0].StatusCode, must.Sprint(path))
	}
	must.Eq(t, 400, sendRaw(t, s, getRequest("/p/x", ""))[0].StatusCode)
}

// Guards against a 408, 421, 429 or 503 of the backend server that is passed on: to the client it would
// mean that the request was not run. The proof of the server and its Retry-After, which is for this
// process, must not be on a status that the gateway has changed.
func TestNotRunStatusOfServer(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		d := &fakeDispatcher{result: respondWith(status, http.Header{"Proof": {"s"}, "Retry-After": {"7"}}, "x")}
		s, _ := startHandler(t, d, newRoute(traffic.NonIdempotent))
		r := sendRaw(t, s, getRequest("/p/x", "Id: 1\r\n"))[0]
		must.Eq(t, http.StatusBadGateway, r.StatusCode)
		must.Eq(t, "", r.Header.Get("Proof"))
		must.Eq(t, "", r.Header.Get("Retry-After"))
	}
	d := &fakeDispatcher{result: respondWith(500, http.Header{"Proof": {"s"}, "X-Other": {"1"}, "Connection": {"X-Gone"}, "X-Gone": {"1"}}, "x")}
	s, _ := startHandler(t, d, newRoute(traffic.NonIdempotent))
	r := sendRaw(t, s, getRequest("/p/x", "Id: 1\r\n"))[0]
	must.Eq(t, 500, r.StatusCode)
	must.Eq(t, "s", r.Header.Get("Proof"))
	must.Eq(t, "1", r.Header.Get("X-Other"))
	must.Eq(t, "", r.Header.Get("X-Gone"))
	_, hasContentType := r.Header["Content-Type"]
	must.False(t, hasContentType)
}

// Guards against request smuggling: a second request behind a body with contradictory or malformed length
// fields.
func TestRequestSmuggling(t *testing.T) {
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := startHandler(t, d, newRoute(traffic.Upload))
	smuggled := "GET /p/hidden HTTP/1.1\r\nHost: h.example\r\nId: 2\r\n\r\n"
	sendRaw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled)
	for _, text := range []string{
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\nContent-Length: 60\r\n\r\nabcd" + smuggled,
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + smuggled,
	} {
		sendRaw(t, s, text)
	}
	for _, c := range d.calls {
		must.Eq(t, "1", c.ID)
	}
}

// Guards against a request with a malformed, too large or incomplete body that is run, and against a
// malformed one that is refused only at the deadline.
func TestInvalidBody(t *testing.T) {
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := startHandler(t, d, newRoute(traffic.Upload))
	start := time.Now()
	r := sendRaw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nabc\r\n")
	must.Eq(t, 400, r[0].StatusCode)
	must.Less(t, 300*time.Millisecond, time.Since(start))
	r = sendRaw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 5000\r\n\r\n")
	must.Eq(t, 413, r[0].StatusCode)
	r = sendRaw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc")
	must.Eq(t, 408, r[0].StatusCode)
	must.SliceEmpty(t, d.calls)
	r = sendRaw(t, s, getRequest("/p/x", "Id: 1\r\nX-Long: "+strings.Repeat("x", 3000)+"\r\n"))
	must.Eq(t, 431, r[0].StatusCode)
}

// Guards against a request that takes longer than the timeout of its route or the deadline of the client.
func TestDeadlines(t *testing.T) {
	var deadline time.Time
	d := &fakeDispatcher{result: func(ctx context.Context, _ *dispatch.Call) *dispatch.Result {
		deadline, _ = ctx.Deadline()
		<-ctx.Done()
		return &dispatch.Result{Status: 504, Reason: dispatch.DeadlineExceeded}
	}}
	s, _ := startHandler(t, d, newRoute(traffic.NonIdempotent))
	for deadlineField, limit := range map[string]time.Duration{"Left: 100\r\n": 100 * time.Millisecond, "Left: 60000\r\n": 500 * time.Millisecond, "": 500 * time.Millisecond} {
		must.Eq(t, 504, sendRaw(t, s, getRequest("/p/x", "Id: 1\r\n"+deadlineField))[0].StatusCode)
		c := d.calls[len(d.calls)-1]
		must.Eq(t, limit, c.Deadline.Sub(c.Arrived))
		must.Eq(t, c.Deadline, deadline)
	}
}

// Guards against a request that goes on after its client has disconnected. The dispatcher ensures that a
// non-idempotent request that was already sent is not cancelled; the tests of package dispatch check that.
func TestClientDisconnects(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent} {
		started, contextErr := make(chan struct{}), make(chan error, 1)
		d := &fakeDispatcher{result: func(ctx context.Context, _ *dispatch.Call) *dispatch.Result {
			close(started)
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			contextErr <- ctx.Err()
			return &dispatch.Result{Status: 504, Reason: dispatch.ClientDisconnected}
		}}
		s, _ := startHandler(t, d, newRoute(kind))
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(c, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n")
		must.NoError(t, err)
		<-started
		must.NoError(t, c.Close())
		must.ErrorIs(t, <-contextErr, context.Canceled)
	}
}

// Guards against shares of weighted services that are wrong over a short sequence of requests.
func TestWeightedServices(t *testing.T) {
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := startHandler(t, d, newRoute(traffic.Idempotent, traffic.WeightedService{Service: "a", Weight: 90}, traffic.WeightedService{Service: "b", Weight: 10}))
	var text strings.Builder
	for i := range 40 {
		fmt.Fprintf(&text, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: %d\r\n\r\n", i)
	}
	sendRaw(t, s, text.String()+getRequest("/p/x", "Id: last\r\n"))
	n := 0
	for _, c := range d.calls {
		if c.Service == "b" {
			n++
		}
	}
	must.Len(t, 41, d.calls)
	must.Between(t, 3, n, 5)
}

// Guards against clients that keep their connections to a process that is stopping.
func TestStopClosesConnections(t *testing.T) {
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	s, h := startHandler(t, d, newRoute(traffic.Idempotent))
	h.Stop(dispatch.Shutdown{})
	r := sendRaw(t, s, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n")
	must.Eq(t, 200, r[0].StatusCode)
	must.True(t, r[0].Close)
}

// Guards against a connection that is cut without an answer because a body still arrives when the process ends, and
// against a wait for a body whose request can't be sent to a server any more.
func TestStopRefusesUnfinishedBody(t *testing.T) {
	for _, timeout := range []time.Duration{time.Minute, 10 * time.Second} {
		route := newRoute(traffic.Idempotent)
		route.Timeout = timeout
		s, h := startHandler(t, &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}, route)
		responses := make(chan []*http.Response, 2)
		send := func() {
			responses <- sendRaw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
		go send()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.ActiveCounts()["body"] == 1 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		// A request that may outlast the process must arrive by the first time, any other by the second.
		soon, later := time.Now().Add(50*time.Millisecond), time.Now().Add(time.Minute)
		shutdown := dispatch.Shutdown{LastArrival: soon, LastStart: later, GiveUp: time.Now().Add(20 * time.Second), End: later}
		if timeout < time.Minute {
			shutdown.LastArrival, shutdown.LastStart = later, soon
		}
		h.Stop(shutdown)
		go send()
		for range 2 {
			r := <-responses
			must.Len(t, 1, r)
			must.Eq(t, http.StatusRequestTimeout, r[0].StatusCode)
			must.True(t, r[0].Close)
		}
	}
}

// Guards against a request in progress that no line of a stopping process mentions.
func TestActiveRequestsLogged(t *testing.T) {
	release := make(chan struct{})
	d := &fakeDispatcher{result: func(_ context.Context, c *dispatch.Call) *dispatch.Result {
		c.SetPhase(dispatch.AwaitsSlot, "server")
		<-release
		return &dispatch.Result{Status: http.StatusServiceUnavailable}
	}}
	s, h, logs := startLoggedHandler(t, d, newRoute(traffic.Idempotent))
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendRaw(t, s, getRequest("/p/x", "Id: stuck\r\n"))
	}()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.ActiveCounts()["slot"] == 1 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	h.LogActive(time.Now())
	e := logs.Entries[0]
	must.Eq(t, "request in progress", e.Message)
	must.Eq(t, "stuck", e.Fields["id"])
	must.Eq(t, "slot", e.Fields["reason"])
	must.Eq(t, "server", e.Fields["server"])
	close(release)
	<-done
	must.MapEmpty(t, h.ActiveCounts())
}

// testBounds returns the bounds of a VM of 284 MB.
func testBounds(t *testing.T) bounds.Bounds {
	b, err := bounds.New(284<<20, 4096)
	must.NoError(t, err)
	return b
}
