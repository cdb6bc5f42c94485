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

// maxStoredBytes is the length of the longest response body of a final action that is stored for resends.
const maxStoredBytes = 64 << 10

// contentTypeHeader is the only response header that is stored for resends.
const contentTypeHeader = "Content-Type"

// runConfirmation runs a final action at most once for its ticket. The ticket is
// redeemed before anything else can refuse the request: the response to a resend
// must not be "not run" if an earlier attempt may have run. The shard is not
// released from the time the ticket is redeemed until the request ends, also while
// the request waits for a slot.
func (u *Upstream) runConfirmation(ctx context.Context, r *exchange.Request, presented ticket.Ticket) *exchange.Response {
	if _, ok := u.beginRunning(r.Shard); !ok {
		return movedResponse()
	}
	defer u.endRunning(r, 0)
	ticketTable := u.ticketTable()
	verdict, operation := ticketTable.Redeem(time.Now(), presented)
	switch verdict {
	case ticket.Run:
		return u.runAndStore(ctx, r, ticketTable, operation)
	case ticket.Join:
		return awaitResponse(ctx, operation)
	case ticket.Stored:
		return storedResponse(operation.Result())
	case ticket.Full:
		response := exchange.NotRunResponse(http.StatusServiceUnavailable, "the ticket table for the backend server is full")
		response.RetryAt = time.Now().Add(time.Minute)
		return response
	case ticket.Absent:
		return movedResponse()
	case ticket.Unknown:
	}
	return exchange.UnknownOutcomeResponse(http.StatusBadGateway, "the ticket may have been used already and there is no record of the outcome")
}

// ticketTable returns the ticket table of the lease that beginRunning has checked.
func (u *Upstream) ticketTable() *ticket.Table {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tickets
}

// runAndStore sends the request and stores its response. The request continues after its client has disconnected,
// so that the next attempt of the client finds the response.
func (u *Upstream) runAndStore(ctx context.Context, r *exchange.Request, table *ticket.Table, operation *ticket.Operation) *exchange.Response {
	response := u.sendDetached(ctx, r)
	stored := ticket.Result{Outcome: response.Outcome, Status: response.Status}
	if response.Outcome == outcome.Ran {
		response, stored = bufferResponse(response)
	}
	table.Finish(operation, stored)
	return response
}

// sendDetached sends a request that is not cancelled with its context, only at its deadline.
func (u *Upstream) sendDetached(ctx context.Context, r *exchange.Request) *exchange.Response {
	active, refusal := u.startRequest(ctx, r)
	if refusal != nil {
		return refusal
	}
	// The context must last until the response body is closed.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	response := active.send(detached)
	response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
	return response
}

// bufferResponse reads the whole response body, so that resends can get it too.
func bufferResponse(response *exchange.Response) (*exchange.Response, ticket.Result) {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStoredBytes+1))
	if err != nil || len(data) > maxStoredBytes {
		return exchange.UnknownOutcomeResponse(http.StatusBadGateway, "the action ran, but its response is incomplete or longer than 64 KiB"),
			ticket.Result{Outcome: outcome.Unknown, Status: http.StatusBadGateway}
	}
	buffered := exchange.TextResponse(outcome.Ran, response.Status, string(data))
	buffered.Header = response.Header
	return buffered, ticket.Result{
		Outcome: outcome.Ran, Status: response.Status, Type: response.Header.Get(contentTypeHeader), Body: data,
	}
}

// cancelOnClose is a response body that cancels a context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// awaitResponse waits for the response of the attempt that is running.
func awaitResponse(ctx context.Context, operation *ticket.Operation) *exchange.Response {
	select {
	case <-operation.Done():
		return storedResponse(operation.Result())
	case <-ctx.Done():
		return exchange.UnknownOutcomeResponse(http.StatusGatewayTimeout, "the action is still running")
	}
}

// storedResponse returns the response to a resend, made from the stored result.
func storedResponse(r ticket.Result) *exchange.Response {
	switch {
	case r.Outcome == outcome.Ran && !r.Truncated:
		response := exchange.TextResponse(outcome.Ran, r.Status, string(r.Body))
		response.Header = http.Header{contentTypeHeader: {r.Type}}
		return response
	case r.Outcome == outcome.NotRun:
		return movedResponse()
	}
	return exchange.UnknownOutcomeResponse(http.StatusBadGateway, "the outcome of the first attempt is unknown")
}
