package origin

import (
	"net/http"
	"time"

	"bramleystand.org/common/registry"
)

// HeaderFields reads and writes the header fields that are specific to the platform.
type HeaderFields interface {
	// ID returns the identifier of the request that a response belongs to, or "" if there is none.
	ID(h http.Header) string
	// IsSetByProxy reports whether AddRequestFields sets the field, so that the field of the client's
	// request is not forwarded.
	IsSetByProxy(name string) bool
	// AddRequestFields adds the fields for a request to a server, with the time left until its deadline.
	AddRequestFields(add func(name, value string), left time.Duration, server string)
	// NotRun reports whether a response states that the request was not run.
	NotRun(status int, h http.Header) bool
	// OtherServer returns the identifier of the server that has refused a request because another one was
	// expected, which has ended; "" for any other response.
	OtherServer(status int, h http.Header, expected string) string
	// RequestLimit returns the requests a second that the server of a response takes from all processes
	// together, and whether the response names them. An error means that they can't be read.
	RequestLimit(h http.Header) (perSecond float64, named bool, err error)
	// IsLeaving reports whether the server of a response states that it leaves. An error means that the
	// statement can't be used.
	IsLeaving(h http.Header) (bool, error)
	// RetryAfter returns the time until which the server of a response that has arrived now wants no
	// request, and whether the response names one. An error means that it can't be used.
	RetryAfter(now time.Time, h http.Header) (at time.Time, named bool, err error)
	// ServerLoad returns the load that the server of a response reports of itself, or nil if it reports none.
	// An error means that the report can't be used.
	ServerLoad(h http.Header) (*registry.Load, error)
	// HasProof reports whether a response carries the server's proof that it made the response.
	HasProof(h http.Header) bool
}
