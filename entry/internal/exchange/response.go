package exchange

import (
	"io"
	"net/http"
	"strings"
	"time"

	"bramleystand.org/common/outcome"
)

// Response is the answer to a Request. Its body must be closed.
type Response struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Reason says in a few words why a request was not run or its outcome is unknown.
	Reason string
	// RetryAt is the earliest useful time to send the request again, or zero.
	RetryAt time.Time
	// Moved says that the receiver does not hold the lease of the key's shard.
	Moved bool
	// Ticket is a new ticket if the request asked for one.
	Ticket string
	// Crashed says that the backend server broke while it ran the request.
	Crashed bool
}

// Refuse returns the answer to a request that was not run.
func Refuse(status int, reason string) *Response {
	return &Response{Outcome: outcome.NotRun, Status: status, Reason: reason, Body: http.NoBody}
}

// Unsure returns the answer to a request whose outcome is unknown.
func Unsure(status int, reason string) *Response {
	return &Response{Outcome: outcome.Unknown, Status: status, Reason: reason, Body: http.NoBody}
}

// Text returns an answer with a stored body.
func Text(o outcome.Outcome, status int, body string) *Response {
	return &Response{Outcome: o, Status: status, Body: io.NopCloser(strings.NewReader(body))}
}
