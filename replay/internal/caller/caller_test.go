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
	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/requestbody"
)

// fakeEntries is a transport that answers as all entry VMs. It issues one fixed
// ticket and answers the requests for keys with the given functions in turn.
type fakeEntries struct {
	responders    []func(*http.Request) (*http.Response, error)
	entriesUsed   []string
	ticketsSent   []string
	ticketsIssued int
}

// RoundTrip implements http.RoundTripper.
func (e *fakeEntries) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, "/v1/tickets/") {
		e.ticketsIssued++
		return newResponse(http.StatusCreated, "not-run", `{"ticket":"t1"}`), nil
	}
	e.entriesUsed = append(e.entriesUsed, r.URL.Host)
	e.ticketsSent = append(e.ticketsSent, r.Header.Get("Bramley-Ticket"))
	next := e.responders[0]
	e.responders = e.responders[1:]
	return next(r)
}

func newResponse(status int, o, text string) *http.Response {
	h := http.Header{}
	h.Set(outcome.Header, o)
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(text))}
}

func refuseRequest(*http.Request) (*http.Response, error) {
	r := newResponse(http.StatusServiceUnavailable, "not-run", `{"reason":"busy"}`)
	r.Header.Set("Retry-After", "2")
	return r, nil
}

func respondUnknown(*http.Request) (*http.Response, error) {
	return newResponse(http.StatusBadGateway, "unknown", `{"reason":"connection broke"}`), nil
}

func resetConnection(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection reset")
}

func respondRan(r *http.Request) (*http.Response, error) {
	id, size := r.URL.Query().Get("operation"), r.ContentLength
	text, err := json.Marshal(map[string]any{
		"server": "s1", "key": r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "execution": 4,
		"operation": r.Header.Get("Bramley-Ticket"), "length": size, "sha256": requestbody.Digest(id, size),
	})
	return newResponse(http.StatusOK, "ran", string(text)), err
}

func doOperation(t *testing.T, e *fakeEntries, k rank.Rank) operation.Result {
	c := caller.New(&http.Client{Transport: e}, []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"),
	}, func(operation.Attempt) {})
	now := time.Now()
	return c.Do(t.Context(), operation.Operation{
		ID: "run-1", Service: "seat-desk", Key: "seat-1", Rank: k, Size: 300,
		DueAt: now, Target: time.Second, Deadline: now.Add(8 * time.Second),
	})
}

// Guards against a resend that uses a new ticket or the same entry VM, or that comes
// before the time in Retry-After.
func TestResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEntries{responders: []func(*http.Request) (*http.Response, error){refuseRequest, respondUnknown, resetConnection, respondRan}}
		r := doOperation(t, e, rank.Confirmation)
		must.Eq(t, operation.Late, r.Class())
		must.Eq(t, 1, e.ticketsIssued)
		must.Eq(t, []string{"t1", "t1", "t1", "t1"}, e.ticketsSent)
		must.NotEq(t, e.entriesUsed[0], e.entriesUsed[1])
		must.Eq(t, 2*time.Second, r.Attempts[1].Sent.Sub(r.Attempts[0].Sent))
		must.False(t, r.Attempts[2].Answered)
		must.Eq(t, "", r.Attempts[3].AnswerError)
		must.Eq(t, 4, r.Attempts[3].Execution)
	})
}

// Guards against a resend after a final refusal and after the deadline.
func TestStopsResending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rejectFinally := func(*http.Request) (*http.Response, error) { return newResponse(422, "not-run", `{}`), nil }
		r := doOperation(t, &fakeEntries{responders: []func(*http.Request) (*http.Response, error){rejectFinally}}, rank.Upload)
		must.Len(t, 1, r.Attempts)
		must.Eq(t, operation.Refused, r.Class())
		r = doOperation(t, &fakeEntries{responders: []func(*http.Request) (*http.Response, error){refuseRequest, refuseRequest, refuseRequest, refuseRequest}}, rank.Upload)
		must.Len(t, 4, r.Attempts)
		must.LessEq(t, 8*time.Second, r.Elapsed())
	})
}

// Guards against accepting truncated responses and responses for another key, body,
// ticket, operation or later attempt.
func TestWrongResponses(t *testing.T) {
	digest := requestbody.Digest("run-1", 300)
	responseFormat := `{"server":"s1","key":"%s","operation":"%s","length":300,"sha256":"%s"}`
	for name, text := range map[string]string{
		"key":           fmt.Sprintf(responseFormat, "seat-2", "t1", digest),
		"body":          fmt.Sprintf(responseFormat, "seat-1", "t1", requestbody.Digest("run-2", 300)),
		"ticket":        fmt.Sprintf(responseFormat, "seat-1", "t2", digest),
		"operation":     fmt.Sprintf(responseFormat, "seat-1", "run-2/1", digest),
		"later attempt": fmt.Sprintf(responseFormat, "seat-1", "run-1/2", digest),
		"truncated":     fmt.Sprintf(responseFormat, "seat-1", "t1", digest)[:40],
	} {
		respondWithText := func(*http.Request) (*http.Response, error) { return newResponse(200, "ran", text), nil }
		r := doOperation(t, &fakeEntries{responders: []func(*http.Request) (*http.Response, error){respondWithText}}, rank.Confirmation)
		must.NotEq(t, "", r.Attempts[0].AnswerError, must.Sprint(name))
	}
}

// Guards against an operation that continues after its context is cancelled.
func TestCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	e := &fakeEntries{responders: []func(*http.Request) (*http.Response, error){refuseRequest}}
	c := caller.New(&http.Client{Transport: e}, []netip.AddrPort{{}}, func(operation.Attempt) {})
	r := c.Do(ctx, operation.Operation{ID: "a", Rank: rank.Lookup, Deadline: time.Now().Add(time.Minute)})
	must.Len(t, 1, r.Attempts)
}
