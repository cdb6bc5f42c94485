package origin

import (
	"net/http"
	"time"
)

// Fields reads and writes the header fields that are specific to the platform.
type Fields interface {
	// ID returns the identifier of the request that a response belongs to, or "" if there is none.
	ID(h http.Header) string
	// IsOwn reports whether Mark sets the field, so that the field of the client's request is not
	// forwarded.
	IsOwn(name string) bool
	// Mark adds the fields for a request to a server, with the time left until its deadline.
	Mark(add func(name, value string), left time.Duration, server string)
	// NotRun reports whether a response states that the request was not run.
	NotRun(status int, h http.Header) bool
	// Complete reports whether a response carries the server's proof that it made the response.
	Complete(h http.Header) bool
}
