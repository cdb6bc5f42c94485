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
	"bramleystand.org/replay/internal/body"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
)

// The headers between callers and entry VMs, and those that only stand-in servers read.
const (
	rankHeader      = "Bramley-Rank"
	timeoutHeader   = "Bramley-Timeout"
	ticketHeader    = "Bramley-Ticket"
	operationHeader = "Bramley-Operation"
	crashHeader     = "Bramley-Crash"
)

// longestAnswer bounds the answers that are read; those of the stand-ins have a few hundred bytes.
const longestAnswer = 1 << 20

var methods = [rank.Count]string{
	rank.Confirmation: http.MethodPost,
	rank.Lookup:       http.MethodGet,
	rank.Upload:       http.MethodPut,
}

// ticketJSON is the answer to a request for a ticket.
type ticketJSON struct {
	Ticket string `json:"ticket"`
}

// ticket returns a ticket, or the reason why there is none and the pause before the next try.
func (c *Caller) ticket(ctx context.Context, o operation.Operation, entry netip.AddrPort, deadline time.Time) (string, time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address(entry.String(), "tickets", o), http.NoBody)
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: %w", err)
	}
	r.Header.Set(timeoutHeader, milliseconds(time.Until(deadline)))
	response, err := c.client.Do(r)
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, longestAnswer))
	if err != nil {
		return "", 0, fmt.Errorf("caller: ticket: read answer: %w", err)
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

// send sends the request and completes the attempt with what came back.
func (c *Caller) send(ctx context.Context, o operation.Operation, a operation.Attempt, deadline time.Time) (operation.Attempt, time.Duration) {
	a.Digest = body.Digest(o.ID, o.Size)
	r, err := request(ctx, o, a, deadline)
	if err != nil {
		return failed(a, err), 0
	}
	response, err := c.client.Do(r)
	if err != nil {
		return failed(a, err), 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, longestAnswer))
	if err != nil {
		return failed(a, fmt.Errorf("answer broke off: %w", err)), 0
	}
	a.Answered, a.Told = time.Now(), true
	a.Outcome = outcome.Parse(response.Header.Get(outcome.Header))
	a.Status = response.StatusCode
	if a.Outcome != outcome.Ran {
		a.Problem = reason(content)
		return a, retryAfter(response.Header)
	}
	return check(a, o, content), 0
}

func request(ctx context.Context, o operation.Operation, a operation.Attempt, deadline time.Time) (*http.Request, error) {
	var content io.Reader = http.NoBody
	if o.Size > 0 {
		content = io.NopCloser(body.New(o.ID, o.Size))
	}
	r, err := http.NewRequestWithContext(ctx, methods[o.Rank], address(a.Entry, "keys", o), content)
	if err != nil {
		return nil, err
	}
	r.ContentLength = o.Size
	r.Header.Set(rankHeader, o.Rank.String())
	r.Header.Set(timeoutHeader, milliseconds(time.Until(deadline)))
	r.Header.Set(operationHeader, execution.Label(o.ID, a.Number))
	if a.Ticket != "" {
		r.Header.Set(ticketHeader, a.Ticket)
	}
	if o.Crash {
		r.Header.Set(crashHeader, "1")
	}
	return r, nil
}

// failed completes an attempt without answer: nobody told whether it was run.
func failed(a operation.Attempt, err error) operation.Attempt {
	a.Outcome = outcome.Unknown
	a.Problem = err.Error()
	return a
}

// address returns the URL for a key; the operation in the query tells equal lookups apart.
func address(entry string, kind string, o operation.Operation) string {
	return "http://" + entry + "/v1/" + kind + "/" + url.PathEscape(o.Service) + "/" + url.PathEscape(o.Key) +
		"?operation=" + url.QueryEscape(o.ID)
}

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// retryAfter returns the pause that an answer asks for, or 0.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// reasonJSON is the body of an answer to a request that was not run or whose outcome is unknown.
type reasonJSON struct {
	Reason string `json:"reason"`
}

func reason(content []byte) string {
	var r reasonJSON
	if err := json.Unmarshal(content, &r); err != nil {
		return "answer without reason: " + err.Error()
	}
	return r.Reason
}
