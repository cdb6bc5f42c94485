package origin

import (
	"net/http"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

// Request is a request to one backend server. Its whole body is in memory, so that it can be sent
// again when a server states that it did not run it.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, even an empty one.
	HasBody bool
	// ID identifies the request. The server repeats it in the response.
	ID string
	// Server is the identifier of the server that is expected to run the request.
	Server string
	// Deadline is when the server should stop working on the request.
	Deadline time.Time
	// Fresh requires a connection that is new or has been idle for a short time only. It is meant
	// for requests that must not run twice, because they can't be sent again after a failure.
	Fresh bool
	// Repeated requires a new connection, because the server has been sent a request with the same ID
	// before. On a connection that carried it, a second copy of the earlier response can't be told from
	// the response to this request.
	Repeated bool
	// Memory is where the memory for a response body above 64 KiB is reserved, until the caller closes
	// it; nil for no limit. A response for which too little is left is an error.
	Memory *bodybudget.Account
}
