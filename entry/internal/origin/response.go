package origin

import (
	"net/http"
	"time"

	"bramleystand.org/common/registry"
)

// Limit is the number of requests a second that a server takes from all processes together, as stated in
// a response.
type Limit struct {
	PerSecond float64
	// Named is false if the response names no limit, or one that can't be used.
	Named bool
	// Err is why the limit can't be used, or nil.
	Err error
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// OtherServer is the identifier of the server that has refused the request because another one was
	// expected, which has ended; empty if none has.
	OtherServer string
	// HasServerProof is true if the response carries the server's proof that it made the response.
	HasServerProof bool
	// HeldUntil is the time until which the server wants no request from this process, as it states when it
	// turns a request away; zero if it states none. HeldErr is why its statement can't be used, or nil.
	HeldUntil time.Time
	HeldErr   error
	// Load is the load that the server reports of itself, or nil, and LoadErr why its report can't be used.
	Load    *registry.Load
	LoadErr error
	// Reused is true if the connection had been used for an earlier request.
	Reused bool
	// Leaving is true if the server states that it leaves, and LeavingErr is why its statement can't be
	// used, or nil.
	Leaving    bool
	LeavingErr error
	// Limit is what the response says about the request limit of its server.
	Limit Limit
}
