package caller_test

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/entry/internal/caller"
	"bramleystand.org/entry/internal/exchange"
)

// fakeRouter records the last request with its body and responds with a function.
type fakeRouter struct {
	lastRequest *exchange.Request
	lastBody    string
	respond     func() *exchange.Response
}

func (f *fakeRouter) Route(_ context.Context, r *exchange.Request) *exchange.Response {
	f.lastRequest = r
	f.lastBody = string(r.BodyPrefix)
	if r.BodyRest != nil {
		rest, _ := io.ReadAll(r.BodyRest)
		f.lastBody += string(rest)
	}
	return f.respond()
}

type fakeConfig struct{}

func (fakeConfig) Shards(service string) (uint32, bool) { return 1024, service == "seat-desk" }

func (fakeConfig) Timeout(rank.Rank) time.Duration { return time.Second }

func newServer(t *testing.T, f *fakeRouter, bodyLimit int64) *httptest.Server {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	h := caller.New(f, fakeConfig{}, bodyLimit, caller.NewResponseCounters(new(expvar.Map).Init()), logger)
	s := httptest.NewServer(h.Filter(http.NotFoundHandler()))
	t.Cleanup(s.Close)
	return s
}

func okResponse() *exchange.Response {
	return exchange.TextResponse(outcome.Ran, http.StatusOK, "answer")
}

// Guards against invalid requests being forwarded to a backend server, and against responses that don't name the invalid
// value.
func TestRefusesInvalidRequests(t *testing.T) {
	cases := []struct {
		name, method, path string
		header             map[string]string
		body               string
		status             int
		reason             string
	}{
		{"unknown service", "GET", "/v1/keys/nothing/k", nil, "", 404, `service "nothing" is unknown`},
		{"empty key", "GET", "/v1/keys/seat-desk/", nil, "", 400, "key has 0 bytes"},
		{"key too long", "GET", "/v1/keys/seat-desk/" + strings.Repeat("k", 1025), nil, "", 400, "allowed are 1 to 1024"},
		{"invalid rank", "POST", "/v1/keys/seat-desk/k", map[string]string{"Bramley-Rank": "bulk"}, "", 400, "bulk"},
		{"missing rank", "POST", "/v1/keys/seat-desk/k", nil, "", 400, "Bramley-Rank is missing"},
		{"invalid timeout", "GET", "/v1/keys/seat-desk/k", map[string]string{"Bramley-Timeout": "2s"}, "", 400, "Bramley-Timeout"},
		{"missing ticket", "POST", "/v1/keys/seat-desk/k", map[string]string{"Bramley-Rank": "confirmation"}, "", 428, "/v1/tickets/"},
		{"body too large", "PUT", "/v1/keys/seat-desk/k", map[string]string{"Bramley-Rank": "upload"}, "12345678901", 413, "at most 10"},
		{"ticket by GET", "GET", "/v1/tickets/seat-desk/k", nil, "", 405, "POST"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeRouter{respond: okResponse}
			s := newServer(t, f, 10)
			request, err := http.NewRequestWithContext(t.Context(), c.method, s.URL+c.path, strings.NewReader(c.body))
			must.NoError(t, err)
			for k, v := range c.header {
				request.Header.Set(k, v)
			}
			response, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			must.Eq(t, c.status, response.StatusCode)
			must.StrContains(t, strings.ReplaceAll(string(body), `\"`, `"`), c.reason)
			must.Eq(t, "not-run", response.Header.Get("Bramley-Outcome"))
			must.Nil(t, f.lastRequest)
		})
	}
}

// Guards against keys, queries, bodies or headers being changed before they are forwarded, and against a client setting
// a reserved header.
func TestForwardsRequestUnchanged(t *testing.T) {
	f := &fakeRouter{respond: okResponse}
	s := newServer(t, f, 1<<20)
	requestBody := strings.Repeat("x", exchange.BodyPrefixBytes+5)
	request, err := http.NewRequestWithContext(t.Context(), "PUT", s.URL+"/v1/keys/seat-desk/a//b%2Fc?q=1", strings.NewReader(requestBody))
	must.NoError(t, err)
	request.Header.Set("Bramley-Rank", "upload")
	request.Header.Set("Bramley-Fence", "9")
	request.Header.Set("X-Own", "1")
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	_ = response.Body.Close()
	must.Eq(t, "answer", string(body))
	must.Eq(t, "ran", response.Header.Get("Bramley-Outcome"))
	must.Eq(t, "a//b/c", f.lastRequest.Key)
	must.Eq(t, "q=1", f.lastRequest.Query)
	must.Eq(t, requestBody, f.lastBody)
	must.Eq(t, "", f.lastRequest.Header.Get("Bramley-Fence"))
	must.Eq(t, "1", f.lastRequest.Header.Get("X-Own"))
}

type truncatedBody struct{ sent bool }

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.ErrUnexpectedEOF
	}
	b.sent = true
	return copy(p, "half"), nil
}

func (*truncatedBody) Close() error { return nil }

// Guards against a client taking a truncated response for a complete one.
func TestTruncatedAnswer(t *testing.T) {
	f := &fakeRouter{respond: func() *exchange.Response {
		return &exchange.Response{Outcome: outcome.Ran, Status: 200, Body: &truncatedBody{}}
	}}
	s := newServer(t, f, 10)
	response, err := http.Get(s.URL + "/v1/keys/seat-desk/k")
	if err != nil {
		return
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	must.Error(t, err)
}

// Guards against the load balancer sending clients to a process that is stopping.
func TestHealthCheckFailsAfterStop(t *testing.T) {
	logger := &log.Logger{Handler: discard.New()}
	h := caller.New(nil, fakeConfig{}, 1, nil, logger)
	healthStatus := func() int {
		w := httptest.NewRecorder()
		h.Filter(nil).ServeHTTP(w, httptest.NewRequest("GET", "/healthz", nil))
		return w.Code
	}
	must.Eq(t, 200, healthStatus())
	h.Stop()
	must.Eq(t, 503, healthStatus())
}
