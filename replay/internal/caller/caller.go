// Package caller sends requests to entry VMs as the programs of callers do. It fetches a
// ticket for a confirmation, resends a request through another entry VM until the deadline,
// and checks that each response is complete and belongs to its request.
//
// # Usage
//
//	c := caller.New(client, entries, log.Add)
//	result := c.Do(ctx, operation)
package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
)

const (
	// initialBackoff is the pause before the first resend unless the response asks for
	// a longer one. It doubles with each resend up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// responseGrace is the time after a deadline in which the response with the outcome
	// may still arrive.
	responseGrace = 100 * time.Millisecond
)

// responseTimeouts is how long, by rank, a caller waits for one response before it tries
// another entry VM. The timeouts exceed the 3 s after which the keys of a lost server are
// served again.
var responseTimeouts = [rank.Count]time.Duration{
	rank.Confirmation: 4 * time.Second,
	rank.Lookup:       4 * time.Second,
	rank.Upload:       30 * time.Second,
}

// Caller performs operations. It is safe for concurrent use.
type Caller struct {
	client  *http.Client
	entries []netip.AddrPort
	log     func(operation.Attempt)
	next    atomic.Uint64
}

// New returns a caller that uses the entry VMs in turn and passes each attempt to log.
func New(client *http.Client, entries []netip.AddrPort, log func(operation.Attempt)) *Caller {
	return &Caller{client: client, entries: entries, log: log}
}

// NewClient returns an HTTP client that opens as many connections as there are
// concurrent requests and keeps up to 1024 idle ones per host.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Do sends attempts at an operation until the outcome is final or no time is left,
// and returns the result.
func (c *Caller) Do(ctx context.Context, o operation.Operation) operation.Result {
	result := operation.Result{Operation: o}
	ticket, pause := "", initialBackoff
	for n := 1; ; n++ {
		entry := c.entries[c.next.Add(1)%uint64(len(c.entries))]
		a, after := c.attempt(ctx, o, n, entry, &ticket)
		c.log(a)
		result.Attempts = append(result.Attempts, a)
		if isFinal(a) || !waitToResend(ctx, max(pause, after), o.Deadline) {
			result.Ended = time.Now()
			return result
		}
		pause = min(2*pause, maxBackoff)
	}
}

// isFinal reports whether another attempt is useless, because the request has run or
// would be refused again.
func isFinal(a operation.Attempt) bool {
	switch a.Outcome {
	case outcome.Ran:
		return true
	case outcome.NotRun:
		return a.Status != http.StatusTooManyRequests && a.Status != http.StatusServiceUnavailable
	case outcome.Unknown:
	}
	return false
}

// waitToResend waits for the pause and reports whether another attempt can be sent.
// It returns false at once if the deadline comes first.
func waitToResend(ctx context.Context, pause time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= pause {
		return false
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// attempt fetches a ticket if the operation needs one and has none, and sends the
// request once. It returns the pause that the response asks for.
func (c *Caller) attempt(ctx context.Context, o operation.Operation, n int, entry netip.AddrPort, ticket *string) (operation.Attempt, time.Duration) {
	deadline := time.Now().Add(responseTimeouts[o.Rank])
	if o.Deadline.Before(deadline) {
		deadline = o.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	a := operation.Attempt{
		Operation: o.ID, Number: n, Service: o.Service, Key: o.Key, Rank: o.Rank, Entry: entry.String(), Sent: time.Now(),
	}
	if o.Rank == rank.Confirmation && *ticket == "" {
		newTicket, after, err := c.fetchTicket(ctx, o, entry, deadline)
		if newTicket == "" {
			return failedWithoutTicket(a, err), after
		}
		*ticket = newTicket
		a.Sent = time.Now()
	}
	a.Ticket = *ticket
	return c.send(ctx, o, a, deadline)
}

// failedWithoutTicket completes an attempt for which no ticket was issued. Its
// request was not sent, so it has certainly not run.
func failedWithoutTicket(a operation.Attempt, err error) operation.Attempt {
	a.Outcome = outcome.NotRun
	a.Status = http.StatusServiceUnavailable
	a.FailureReason = fmt.Sprintf("no ticket: %v", err)
	return a
}
