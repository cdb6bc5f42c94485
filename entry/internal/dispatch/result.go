package dispatch

import (
	"net/http"
	"time"

	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/requestlimit"
)

// Result is the final response to a call.
type Result struct {
	// Response is the complete response of the server, or nil if the process responds itself.
	Response *origin.Response
	// Status is the status code for the client. A 503 of the process itself means that the
	// request was not run and never will be.
	Status int
	// RetryAt is when a refused client should try again; zero if that is not known.
	RetryAt time.Time
	Reason  Reason
	// Attempts is the number of attempts that may have reached a server, and Server the last
	// server that the request was sent to.
	Attempts int
	Server   string
	// Peer is the entry process through which the request was sent last; empty if this process has sent it
	// itself.
	Peer  string
	Cause error
	// Steps lists the servers that were tried, in order.
	Steps []Step
	// TableRevision is the revision of the ownership table that the last owner was looked up in, or
	// zero.
	TableRevision uint64
	// OwnerWait is the time that the call waited for its key to get an owner.
	OwnerWait time.Duration
	// Limit is the request limit of the server that answered or refused the call, as it has last named
	// it; not in force if it names none.
	Limit requestlimit.Limit
}

// Step is one attempt to send a call to a server.
type Step struct {
	Server string
	// Peer is the entry process through which the call was sent; empty for none.
	Peer string
	// Reason tells how the attempt ended.
	Reason Reason
	// Waited is the time until a slot of the server was available or the request was refused,
	// and Took the time from then on until the response.
	Waited time.Duration
	Took   time.Duration
}

// Waited returns the total time that the call waited for slots.
func (r *Result) Waited() time.Duration {
	var sum time.Duration
	for _, s := range r.Steps {
		sum += s.Waited
	}
	return sum
}

// refusedResult returns the result of a call that was not run.
func refusedResult(reason Reason, retryAt time.Time, cause error) *Result {
	return &Result{Status: http.StatusServiceUnavailable, RetryAt: retryAt, Reason: reason, Cause: cause}
}

// unknownResult returns the result of a call that may have run.
func unknownResult(status int, reason Reason, cause error) *Result {
	return &Result{Status: status, Reason: reason, Cause: cause}
}
