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
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

// fields are header fields of a platform of the tests.
type fields struct{}

func (fields) ID(h http.Header) string { return h.Get("Id") }
func (fields) Deadline(now time.Time, h http.Header) (time.Time, bool) {
	ms, err := strconv.Atoi(h.Get("Left"))
	return now.Add(time.Duration(ms) * time.Millisecond), err == nil
}

func (fields) Key(h http.Header) (keyspace.Key, bool) {
	k, err := strconv.ParseUint(h.Get("Key"), 10, 16)
	return keyspace.Key(k), err == nil
}
func (fields) Repudiate(h http.Header) { h.Del("Proof") }

// backend answers calls with a function and keeps them.
type backend struct {
	mu     sync.Mutex
	calls  []*dispatch.Call
	result func(ctx context.Context, c *dispatch.Call) *dispatch.Result
}

func (b *backend) Do(ctx context.Context, c *dispatch.Call) *dispatch.Result {
	b.mu.Lock()
	b.calls = append(b.calls, c)
	b.mu.Unlock()
	return b.result(ctx, c)
}

func (b *backend) Ask(string, keyspace.Key) {}

func answering(status int, header http.Header, body string) func(context.Context, *dispatch.Call) *dispatch.Result {
	return func(context.Context, *dispatch.Call) *dispatch.Result {
		return &dispatch.Result{Status: status, Reason: dispatch.Answered, Response: &origin.Response{Status: status, Header: header.Clone(), Body: []byte(body), Proved: true}}
	}
}

// start serves a handler; without routes it knows no configuration.
func start(t *testing.T, b *backend, routes ...traffic.Route) (*httptest.Server, *gateway.Handler) {
	v := view.New()
	if len(routes) > 0 {
		c, err := traffic.New(1, routes, map[string]traffic.Service{"a": {Name: "a"}, "b": {Name: "b"}},
			traffic.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Second})
		must.NoError(t, err)
		v.SetConfiguration(c)
	}
	h := gateway.New(v, b, fields{}, b, gateway.NewCounters(new(expvar.Map)), &log.Logger{Handler: discard.New()})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s, h
}

func route(kind traffic.Kind, backends ...traffic.Backend) traffic.Route {
	if len(backends) == 0 {
		backends = []traffic.Backend{{Service: "a", Weight: 1}}
	}
	return traffic.Route{Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Attempts: 1, Timeout: 500 * time.Millisecond, Backends: backends}
}

// raw sends bytes on a new connection and returns the answers to them.
func raw(t *testing.T, s *httptest.Server, text string) []*http.Response {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
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

func get(path, fields string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + fields + "\r\n"
}

// Guards against a 404 of a process that knows no configuration yet, and against routes that are
// found by part of a path element.
func TestRoutes(t *testing.T) {
	b := &backend{result: answering(200, http.Header{"Proof": {"s"}}, "x")}
	empty, _ := start(t, b)
	responses := raw(t, empty, get("/p/x", "Id: 1\r\n"))
	must.Eq(t, http.StatusServiceUnavailable, responses[0].StatusCode)
	must.NotEq(t, "", responses[0].Header.Get("Retry-After"))
	s, _ := start(t, b, route(traffic.Idempotent))
	for path, status := range map[string]int{"/p/x": 200, "/p/": 200, "/p": 404, "/px/": 404, "/": 404, "/p/x?q=/p/": 200} {
		must.Eq(t, status, raw(t, s, get(path, "Id: 1\r\n"))[0].StatusCode, must.Sprint(path))
	}
	must.Eq(t, 400, raw(t, s, get("/p/x", ""))[0].StatusCode)
}

// Guards against a server's own 503 or 429 reaching the client, to whom it would promise that the
// request was not run, and against the server's proof on a status that it did not give.
func TestPromises(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		b := &backend{result: answering(status, http.Header{"Proof": {"s"}}, "x")}
		s, _ := start(t, b, route(traffic.NonIdempotent))
		r := raw(t, s, get("/p/x", "Id: 1\r\n"))[0]
		must.Eq(t, http.StatusBadGateway, r.StatusCode)
		must.Eq(t, "", r.Header.Get("Proof"))
	}
	b := &backend{result: answering(500, http.Header{"Proof": {"s"}, "X-Other": {"1"}, "Connection": {"X-Gone"}, "X-Gone": {"1"}}, "x")}
	s, _ := start(t, b, route(traffic.NonIdempotent))
	r := raw(t, s, get("/p/x", "Id: 1\r\n"))[0]
	must.Eq(t, 500, r.StatusCode)
	must.Eq(t, "s", r.Header.Get("Proof"))
	must.Eq(t, "1", r.Header.Get("X-Other"))
	must.Eq(t, "", r.Header.Get("X-Gone"))
	_, typed := r.Header["Content-Type"]
	must.False(t, typed)
}

// Guards against a second request that is smuggled inside a body with two lengths.
func TestSmuggledRequest(t *testing.T) {
	b := &backend{result: answering(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := start(t, b, route(traffic.Upload))
	smuggled := "GET /p/hidden HTTP/1.1\r\nHost: h.example\r\nId: 2\r\n\r\n"
	raw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled)
	for _, text := range []string{
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\nContent-Length: 60\r\n\r\nabcd" + smuggled,
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + smuggled,
	} {
		raw(t, s, text)
	}
	for _, c := range b.calls {
		must.Eq(t, "1", c.ID)
	}
}

// Guards against a broken body that is held until the deadline, and against running it.
func TestBrokenBody(t *testing.T) {
	b := &backend{result: answering(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := start(t, b, route(traffic.Upload))
	begin := time.Now()
	r := raw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nabc\r\n")
	must.Eq(t, 400, r[0].StatusCode)
	must.Less(t, 300*time.Millisecond, time.Since(begin))
	r = raw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 5000\r\n\r\n")
	must.Eq(t, 413, r[0].StatusCode)
	r = raw(t, s, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc")
	must.Eq(t, 408, r[0].StatusCode)
	must.SliceEmpty(t, b.calls)
	r = raw(t, s, get("/p/x", "Id: 1\r\nX-Long: "+strings.Repeat("x", 3000)+"\r\n"))
	must.Eq(t, 431, r[0].StatusCode)
}

// Guards against requests that wait longer than their route or their client allows.
func TestDeadlines(t *testing.T) {
	b := &backend{result: func(ctx context.Context, _ *dispatch.Call) *dispatch.Result {
		<-ctx.Done()
		return &dispatch.Result{Status: 504, Reason: dispatch.Late}
	}}
	s, _ := start(t, b, route(traffic.NonIdempotent))
	for left, longest := range map[string]time.Duration{"Left: 100\r\n": 400 * time.Millisecond, "Left: 60000\r\n": 900 * time.Millisecond, "": 900 * time.Millisecond} {
		begin := time.Now()
		must.Eq(t, 504, raw(t, s, get("/p/x", "Id: 1\r\n"+left))[0].StatusCode)
		must.Less(t, longest, time.Since(begin))
	}
}

// Guards against work that goes on for a client that has left. That a final action which has begun is
// not broken off is the dispatcher's part; see dispatch.TestClientLeaves.
func TestClientLeaves(t *testing.T) {
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent} {
		began, ended := make(chan struct{}), make(chan error, 1)
		b := &backend{result: func(ctx context.Context, _ *dispatch.Call) *dispatch.Result {
			close(began)
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			ended <- ctx.Err()
			return &dispatch.Result{Status: 504, Reason: dispatch.Left}
		}}
		s, _ := start(t, b, route(kind))
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(c, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n")
		must.NoError(t, err)
		<-began
		must.NoError(t, c.Close())
		must.ErrorIs(t, <-ended, context.Canceled)
	}
}

// Guards against shares of weighted services that are off in short runs.
func TestWeights(t *testing.T) {
	b := &backend{result: answering(200, http.Header{"Proof": {"s"}}, "x")}
	s, _ := start(t, b, route(traffic.Idempotent, traffic.Backend{Service: "a", Weight: 90}, traffic.Backend{Service: "b", Weight: 10}))
	var text strings.Builder
	for i := range 40 {
		fmt.Fprintf(&text, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: %d\r\n\r\n", i)
	}
	raw(t, s, text.String()+get("/p/x", "Id: last\r\n"))
	n := 0
	for _, c := range b.calls {
		if c.Service == "b" {
			n++
		}
	}
	must.Len(t, 41, b.calls)
	must.Between(t, 3, n, 5)
}

// Guards against clients that stay on a process that stops.
func TestStopping(t *testing.T) {
	b := &backend{result: answering(200, http.Header{"Proof": {"s"}}, "x")}
	s, h := start(t, b, route(traffic.Idempotent))
	h.Stop()
	r := raw(t, s, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n")
	must.Eq(t, 200, r[0].StatusCode)
	must.True(t, r[0].Close)
}
