// Package caller behaves as the callers' programs do: it fetches a ticket for a
// confirmation, resends through another entry VM until the deadline, and checks
// that each answer is whole and belongs to its request.
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
	// firstPause is the pause before a resend if the answer names none; it doubles up to longestPause.
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	// grace is the time after a deadline in which the answer may still arrive that names the outcome.
	grace = 100 * time.Millisecond
)

// patience is the longest time that a caller waits for one answer before it tries
// another entry VM. It exceeds the 3 s in which the keys of a lost server are served again.
var patience = [rank.Count]time.Duration{
	rank.Confirmation: 4 * time.Second,
	rank.Lookup:       4 * time.Second,
	rank.Upload:       30 * time.Second,
}

// Caller performs operations; it is safe for concurrent use.
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

// Client returns an HTTP client that opens as many connections as there are requests at once.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Do performs an operation and returns after its last attempt.
func (c *Caller) Do(ctx context.Context, o operation.Operation) operation.Result {
	result := operation.Result{Operation: o}
	ticket, pause := "", firstPause
	for n := 1; ; n++ {
		entry := c.entries[c.next.Add(1)%uint64(len(c.entries))]
		a, after := c.attempt(ctx, o, n, entry, &ticket)
		c.log(a)
		result.Attempts = append(result.Attempts, a)
		if finished(a) || !wait(ctx, max(pause, after), o.Deadline) {
			result.Ended = time.Now()
			return result
		}
		pause = min(2*pause, longestPause)
	}
}

// finished reports whether sending again is pointless.
func finished(a operation.Attempt) bool {
	switch a.Outcome {
	case outcome.Ran:
		return true
	case outcome.NotRun:
		return a.Status != http.StatusTooManyRequests && a.Status != http.StatusServiceUnavailable
	case outcome.Unknown:
	}
	return false
}

// wait pauses and reports whether there is time left for another attempt.
func wait(ctx context.Context, pause time.Duration, deadline time.Time) bool {
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

// attempt fetches a ticket if one is needed and sends the request once. It
// returns the pause that the answer asks for.
func (c *Caller) attempt(ctx context.Context, o operation.Operation, n int, entry netip.AddrPort, ticket *string) (operation.Attempt, time.Duration) {
	deadline := time.Now().Add(patience[o.Rank])
	if o.Deadline.Before(deadline) {
		deadline = o.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(grace))
	defer cancel()
	a := operation.Attempt{
		Operation: o.ID, Number: n, Service: o.Service, Key: o.Key, Rank: o.Rank, Entry: entry.String(), Sent: time.Now(),
	}
	if o.Rank == rank.Confirmation && *ticket == "" {
		name, after, refused := c.ticket(ctx, o, entry, deadline)
		if name == "" {
			return ticketless(a, refused), after
		}
		*ticket = name
		a.Sent = time.Now()
	}
	a.Ticket = *ticket
	return c.send(ctx, o, a, deadline)
}

// ticketless returns the attempt that ended before its request was sent, so that nothing can have run.
func ticketless(a operation.Attempt, refused error) operation.Attempt {
	a.Outcome = outcome.NotRun
	a.Status = http.StatusServiceUnavailable
	a.Problem = fmt.Sprintf("no ticket: %v", refused)
	return a
}
