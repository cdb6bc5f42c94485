package dispatch

import (
	"net/http"
	"time"

	"bramleystand.org/entry/internal/origin"
)

// Result is the final answer to a call.
type Result struct {
	// Response is the server's whole answer, or nil if the process answers by itself.
	Response *origin.Response
	// Status is the process's own answer. 503 means that the request was not run and never will be.
	Status int
	// RetryAt is when a refused client should come back; zero if that is not known.
	RetryAt time.Time
	Reason  Reason
	// Attempts is the number of servers that may have got the request, and Server the last one.
	Attempts int
	Server   string
	Cause    error
	// Steps are the servers that were tried, in their order.
	Steps []Step
	// Table is the revision of the table of key owners that the last choice was made by, or zero.
	Table uint64
	// Held is the time that the call has waited for its key to get an owner.
	Held time.Duration
}

// Step is one server that was tried.
type Step struct {
	Server string
	// Reason is how it ended.
	Reason Reason
	// Waited is the time until the server had a slot or the request was refused, and Took that
	// until the server's answer.
	Waited time.Duration
	Took   time.Duration
}

// Waited returns the time that the call has waited for slots.
func (r *Result) Waited() time.Duration {
	var sum time.Duration
	for _, s := range r.Steps {
		sum += s.Waited
	}
	return sum
}

// refused returns the answer to a call that was not run.
func refused(reason Reason, retryAt time.Time, cause error) *Result {
	return &Result{Status: http.StatusServiceUnavailable, RetryAt: retryAt, Reason: reason, Cause: cause}
}

// unknown returns the answer to a call that may have run.
func unknown(status int, reason Reason, cause error) *Result {
	return &Result{Status: status, Reason: reason, Cause: cause}
}
