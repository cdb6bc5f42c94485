package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/ticket"
)

// storedBytes is the length of the longest answer of a final action that is kept for resends.
const storedBytes = 64 << 10

// confirm runs a final action at most once for its ticket. The ticket is spent
// while the request has its slot, so that a shard is never handed over with a
// ticket that is spent but not sent.
func (r *run) confirm(ctx context.Context, spent ticket.Ticket) *exchange.Response {
	u := r.upstream
	u.mu.Lock()
	table := u.tickets
	u.mu.Unlock()
	if table == nil {
		r.finish(false)
		return moved()
	}
	verdict, operation := table.Spend(time.Now(), spent)
	if verdict == ticket.Run {
		return r.runOnce(ctx, table, operation)
	}
	r.finish(false)
	switch verdict {
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
	}
	return exchange.Unsure(http.StatusBadGateway, "the ticket may have been used already and its record is lost")
}

// runOnce sends the request and stores its answer. The request goes on when its
// caller has left, so that the caller's next attempt finds the answer.
func (r *run) runOnce(ctx context.Context, table *ticket.Table, operation *ticket.Operation) *exchange.Response {
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.request.Deadline)
	defer cancel()
	response := r.send(detached)
	if response.Outcome != outcome.Ran {
		table.Finish(operation, ticket.Answer{Outcome: response.Outcome, Status: response.Status})
		return response
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, storedBytes+1))
	if err == nil && len(content) > storedBytes {
		err = errors.New("upstream: answer too long")
	}
	if err != nil {
		table.Finish(operation, ticket.Answer{Outcome: outcome.Unknown, Status: http.StatusBadGateway})
		return exchange.Unsure(http.StatusBadGateway, "the action ran, but its answer is incomplete or longer than 64 KiB")
	}
	table.Finish(operation, ticket.Answer{Outcome: outcome.Ran, Status: response.Status, Body: content})
	full := exchange.Text(outcome.Ran, response.Status, string(content))
	full.Header = response.Header
	return full
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
		return exchange.Text(outcome.Ran, a.Status, string(a.Body))
	case a.Outcome == outcome.NotRun:
		return moved()
	}
	return exchange.Unsure(http.StatusBadGateway, "the outcome of the first attempt is unknown")
}
