package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/ticket"
)

// storedBytes is the length of the longest answer of a final action that is kept for resends.
const storedBytes = 64 << 10

// contentType is the one header of an answer that is kept for resends.
const contentType = "Content-Type"

// confirm runs a final action at most once for its ticket. The ticket is looked at
// before anything can refuse the request: a resend that is refused must not be
// told that it was not run if an earlier attempt may have been. The shard is not
// released while its ticket is spent and the request waits.
func (u *Upstream) confirm(ctx context.Context, r *exchange.Request, spent ticket.Ticket) *exchange.Response {
	if _, ok := u.enter(r.Shard); !ok {
		return moved()
	}
	defer u.leave(r, 0)
	table := u.table()
	verdict, operation := table.Spend(time.Now(), spent)
	switch verdict {
	case ticket.Run:
		return u.runOnce(ctx, r, table, operation)
	case ticket.Join:
		return join(ctx, operation)
	case ticket.Stored:
		return stored(operation.Answer())
	case ticket.Full:
		response := exchange.Refuse(http.StatusServiceUnavailable, "too many final actions are remembered")
		response.RetryAt = time.Now().Add(time.Minute)
		return response
	case ticket.Absent:
		return moved()
	case ticket.Unknown:
	}
	return exchange.Unsure(http.StatusBadGateway, "the ticket may have been used already and its record is lost")
}

// table returns the operation table of the lease that enter has checked.
func (u *Upstream) table() *ticket.Table {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tickets
}

// runOnce sends the request and stores its answer. The request goes on when its
// caller has left, so that the caller's next attempt finds the answer.
func (u *Upstream) runOnce(ctx context.Context, r *exchange.Request, table *ticket.Table, operation *ticket.Operation) *exchange.Response {
	response := u.sendOnce(ctx, r)
	answer := ticket.Answer{Outcome: response.Outcome, Status: response.Status}
	if response.Outcome == outcome.Ran {
		response, answer = keep(response)
	}
	table.Finish(operation, answer)
	return response
}

func (u *Upstream) sendOnce(ctx context.Context, r *exchange.Request) *exchange.Response {
	run, refusal := u.start(ctx, r)
	if refusal != nil {
		return refusal
	}
	// The deadline is that of the exchange with the server and ends with its answer.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	response := run.send(detached)
	response.Body = &cancelled{ReadCloser: response.Body, cancel: cancel}
	return response
}

// keep reads the whole answer, so that it can be given to resends.
func keep(response *exchange.Response) (*exchange.Response, ticket.Answer) {
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, storedBytes+1))
	if err != nil || len(content) > storedBytes {
		return exchange.Unsure(http.StatusBadGateway, "the action ran, but its answer is incomplete or longer than 64 KiB"),
			ticket.Answer{Outcome: outcome.Unknown, Status: http.StatusBadGateway}
	}
	full := exchange.Text(outcome.Ran, response.Status, string(content))
	full.Header = response.Header
	return full, ticket.Answer{
		Outcome: outcome.Ran, Status: response.Status, Type: response.Header.Get(contentType), Body: content,
	}
}

// cancelled ends a context with the body that needs it.
type cancelled struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the context.
func (c *cancelled) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// join waits for the answer of the first run.
func join(ctx context.Context, operation *ticket.Operation) *exchange.Response {
	select {
	case <-operation.Done():
		return stored(operation.Answer())
	case <-ctx.Done():
		return exchange.Unsure(http.StatusGatewayTimeout, "the action is still running")
	}
}

func stored(a ticket.Answer) *exchange.Response {
	switch {
	case a.Outcome == outcome.Ran && !a.Truncated:
		response := exchange.Text(outcome.Ran, a.Status, string(a.Body))
		response.Header = http.Header{contentType: {a.Type}}
		return response
	case a.Outcome == outcome.NotRun:
		return moved()
	}
	return exchange.Unsure(http.StatusBadGateway, "the outcome of the first attempt is unknown")
}
