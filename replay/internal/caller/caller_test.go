package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/body"
	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/operation"
)

// entries stands in for all entry VMs; it answers the requests for keys from a script.
type entries struct {
	script  []func(*http.Request) (*http.Response, error)
	hosts   []string
	tickets []string
	issued  int
}

// RoundTrip implements http.RoundTripper.
func (e *entries) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, "/v1/tickets/") {
		e.issued++
		return answer(http.StatusCreated, "not-run", `{"ticket":"t1"}`), nil
	}
	e.hosts = append(e.hosts, r.URL.Host)
	e.tickets = append(e.tickets, r.Header.Get("Bramley-Ticket"))
	next := e.script[0]
	e.script = e.script[1:]
	return next(r)
}

func answer(status int, o, text string) *http.Response {
	h := http.Header{}
	h.Set(outcome.Header, o)
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(text))}
}

func refuse(*http.Request) (*http.Response, error) {
	r := answer(http.StatusServiceUnavailable, "not-run", `{"reason":"busy"}`)
	r.Header.Set("Retry-After", "2")
	return r, nil
}

func unsure(*http.Request) (*http.Response, error) {
	return answer(http.StatusBadGateway, "unknown", `{"reason":"connection broke"}`), nil
}

func broken(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection reset")
}

func echo(r *http.Request) (*http.Response, error) {
	id, size := r.URL.Query().Get("operation"), r.ContentLength
	text, err := json.Marshal(map[string]any{
		"server": "s1", "key": r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "execution": 4,
		"operation": r.Header.Get("Bramley-Ticket"), "length": size, "sha256": body.Digest(id, size),
	})
	return answer(http.StatusOK, "ran", string(text)), err
}

func perform(t *testing.T, e *entries, k rank.Rank) operation.Result {
	c := caller.New(&http.Client{Transport: e}, []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"),
	}, func(operation.Attempt) {})
	now := time.Now()
	return c.Do(t.Context(), operation.Operation{
		ID: "run-1", Service: "seat-desk", Key: "seat-1", Rank: k, Size: 300,
		Intended: now, Target: time.Second, Deadline: now.Add(8 * time.Second),
	})
}

// Guards against a resend that uses a new ticket, the same entry VM, or comes before Retry-After.
func TestResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &entries{script: []func(*http.Request) (*http.Response, error){refuse, unsure, broken, echo}}
		r := perform(t, e, rank.Confirmation)
		must.Eq(t, operation.Late, r.Class())
		must.Eq(t, 1, e.issued)
		must.Eq(t, []string{"t1", "t1", "t1", "t1"}, e.tickets)
		must.NotEq(t, e.hosts[0], e.hosts[1])
		must.Eq(t, 2*time.Second, r.Attempts[1].Sent.Sub(r.Attempts[0].Sent))
		must.False(t, r.Attempts[2].Told)
		must.Eq(t, "", r.Attempts[3].Fault)
		must.Eq(t, 4, r.Attempts[3].Execution)
	})
}

// Guards against resending what can't succeed and against resending beyond the deadline.
func TestGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		condemned := func(*http.Request) (*http.Response, error) { return answer(422, "not-run", `{}`), nil }
		r := perform(t, &entries{script: []func(*http.Request) (*http.Response, error){condemned}}, rank.Upload)
		must.Len(t, 1, r.Attempts)
		must.Eq(t, operation.Refused, r.Class())
		r = perform(t, &entries{script: []func(*http.Request) (*http.Response, error){refuse, refuse, refuse, refuse}}, rank.Upload)
		must.Len(t, 4, r.Attempts)
		must.LessEq(t, 8*time.Second, r.Elapsed())
	})
}

// Guards against answers for another key, body or ticket, or cut answers, that pass as right.
func TestFaults(t *testing.T) {
	digest := body.Digest("run-1", 300)
	whole := `{"server":"s1","key":"%s","operation":"%s","length":300,"sha256":"%s"}`
	for name, text := range map[string]string{
		"key":       fmt.Sprintf(whole, "seat-2", "t1", digest),
		"body":      fmt.Sprintf(whole, "seat-1", "t1", body.Digest("run-2", 300)),
		"ticket":    fmt.Sprintf(whole, "seat-1", "t2", digest),
		"operation": fmt.Sprintf(whole, "seat-1", "run-2/1", digest),
		"later":     fmt.Sprintf(whole, "seat-1", "run-1/2", digest),
		"cut":       fmt.Sprintf(whole, "seat-1", "t1", digest)[:40],
	} {
		reply := func(*http.Request) (*http.Response, error) { return answer(200, "ran", text), nil }
		r := perform(t, &entries{script: []func(*http.Request) (*http.Response, error){reply}}, rank.Confirmation)
		must.NotEq(t, "", r.Attempts[0].Fault, must.Sprint(name))
	}
}

// Guards against an operation that goes on after its run has been stopped.
func TestCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	e := &entries{script: []func(*http.Request) (*http.Response, error){refuse}}
	c := caller.New(&http.Client{Transport: e}, []netip.AddrPort{{}}, func(operation.Attempt) {})
	r := c.Do(ctx, operation.Operation{ID: "a", Rank: rank.Lookup, Deadline: time.Now().Add(time.Minute)})
	must.Len(t, 1, r.Attempts)
}
