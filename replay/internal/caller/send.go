package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/requestbody"
)

// The request headers for entry VMs. Only simulated backend servers read
// operationHeader and crashHeader.
const (
	rankHeader      = "Bramley-Rank"
	timeoutHeader   = "Bramley-Timeout"
	ticketHeader    = "Bramley-Ticket"
	operationHeader = "Bramley-Operation"
	crashHeader     = "Bramley-Crash"
)

// maxResponseSize is the maximum number of bytes that are read of a response. Responses
// of simulated backend servers have a few hundred bytes.
const maxResponseSize = 1 << 20

var methods = [rank.Count]string{
	rank.Confirmation: http.MethodPost,
	rank.Lookup:       http.MethodGet,
	rank.Upload:       http.MethodPut,
}

// ticketJSON is the response to a request for a ticket.
type ticketJSON struct {
	Ticket string `json:"ticket"`
}

// fetchTicket returns a new ticket. If it fails, it returns the error and the pause
// that the response asks for before the next attempt.
func (c *Caller) fetchTicket(ctx context.Context, o operation.Operation, entry netip.AddrPort, deadline time.Time) (string, time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, keyURL(entry.String(), "tickets", o), http.NoBody)
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: %w", err)
	}
	r.Header.Set(timeoutHeader, formatMilliseconds(time.Until(deadline)))
	response, err := c.client.Do(r)
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: read response: %w", err)
	}
	if response.StatusCode != http.StatusCreated && response.StatusCode != http.StatusOK {
		return "", retryAfter(response.Header), eris.Errorf("caller: ticket: status %d: %s", response.StatusCode, content)
	}
	var t ticketJSON
	if err := json.Unmarshal(content, &t); err != nil {
		return "", 0, fmt.Errorf("caller: ticket: %w", err)
	}
	return t.Ticket, 0, nil
}

// send sends the request and completes the attempt from the response or the error. It
// returns the pause that the response asks for.
func (c *Caller) send(ctx context.Context, o operation.Operation, a operation.Attempt, deadline time.Time) (operation.Attempt, time.Duration) {
	a.Digest = requestbody.Digest(o.ID, o.Size)
	r, err := newRequest(ctx, o, a, deadline)
	if err != nil {
		return failedAttempt(a, err), 0
	}
	response, err := c.client.Do(r)
	if err != nil {
		return failedAttempt(a, err), 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return failedAttempt(a, fmt.Errorf("read response: %w", err)), 0
	}
	a.AnsweredAt, a.Answered = time.Now(), true
	a.Outcome = outcome.Parse(response.Header.Get(outcome.Header))
	a.Status = response.StatusCode
	if a.Outcome != outcome.Ran {
		a.FailureReason = parseReason(content)
		return a, retryAfter(response.Header)
	}
	return checkResponse(a, o, content), 0
}

func newRequest(ctx context.Context, o operation.Operation, a operation.Attempt, deadline time.Time) (*http.Request, error) {
	var content io.Reader = http.NoBody
	if o.Size > 0 {
		content = io.NopCloser(requestbody.New(o.ID, o.Size))
	}
	r, err := http.NewRequestWithContext(ctx, methods[o.Rank], keyURL(a.Entry, "keys", o), content)
	if err != nil {
		return nil, err
	}
	r.ContentLength = o.Size
	r.Header.Set(rankHeader, o.Rank.String())
	r.Header.Set(timeoutHeader, formatMilliseconds(time.Until(deadline)))
	r.Header.Set(operationHeader, execution.Label(o.ID, a.Number))
	if a.Ticket != "" {
		r.Header.Set(ticketHeader, a.Ticket)
	}
	if o.Crash {
		r.Header.Set(crashHeader, "1")
	}
	return r, nil
}

// failedAttempt completes an attempt without a response, whose outcome is unknown.
func failedAttempt(a operation.Attempt, err error) operation.Attempt {
	a.Outcome = outcome.Unknown
	a.FailureReason = err.Error()
	return a
}

// keyURL returns the URL for a key. The operation in the query distinguishes lookups
// that are otherwise equal.
func keyURL(entry string, kind string, o operation.Operation) string {
	return "http://" + entry + "/v1/" + kind + "/" + url.PathEscape(o.Service) + "/" + url.PathEscape(o.Key) +
		"?operation=" + url.QueryEscape(o.ID)
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// retryAfter returns the pause that a response asks for, or 0 if it asks for none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// reasonJSON is the body of a response to a request that did not run or whose outcome
// is unknown.
type reasonJSON struct {
	Reason string `json:"reason"`
}

func parseReason(content []byte) string {
	var r reasonJSON
	if err := json.Unmarshal(content, &r); err != nil {
		return "response without reason: " + err.Error()
	}
	return r.Reason
}
