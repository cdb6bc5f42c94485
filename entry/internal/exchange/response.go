package exchange

import (
	"io"
	"net/http"
	"strings"
	"time"

	"bramleystand.org/common/outcome"
)

// Response is the response to a Request. The receiver must close its body.
type Response struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Reason tells the client in a few words why the request was not run or why its outcome is unknown.
	Reason string
	// RetryAt is the earliest time at which sending the request again is useful, or zero if none is known.
	RetryAt time.Time
	// Reroute tells that the request was not run because the key's shard may have moved to another backend server or
	// its leaseholder cannot be reached. The sender may try again with a newer routing table.
	Reroute bool
	// Ticket is a new ticket if the request asked for one and one was issued.
	Ticket string
	// ServerCrashed tells that the backend server broke the connection while it had the request.
	ServerCrashed bool
}

// NotRunResponse returns the response to a request that was not run, with an empty body.
func NotRunResponse(status int, reason string) *Response {
	return &Response{Outcome: outcome.NotRun, Status: status, Reason: reason, Body: http.NoBody}
}

// UnknownOutcomeResponse returns the response to a request whose outcome is unknown, with an empty body.
func UnknownOutcomeResponse(status int, reason string) *Response {
	return &Response{Outcome: outcome.Unknown, Status: status, Reason: reason, Body: http.NoBody}
}

// TextResponse returns a response with the given body.
func TextResponse(o outcome.Outcome, status int, body string) *Response {
	return &Response{Outcome: o, Status: status, Body: io.NopCloser(strings.NewReader(body))}
}
