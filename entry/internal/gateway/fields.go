package gateway

import (
	"net/http"
	"time"

	"bramleystand.org/common/keyspace"
)

// HeaderFields reads the header fields that the platform defines.
type HeaderFields interface {
	// ID returns the identifier of a request, or "" if there is none.
	ID(h http.Header) string
	// Deadline returns the time at which the client stops waiting, or false if the request does not
	// state it.
	Deadline(now time.Time, h http.Header) (time.Time, bool)
	// Key returns the key of a request, or false if it has none.
	Key(h http.Header) (keyspace.Key, bool)
	// RemoveProof removes the proof that a backend server made the response, because the gateway has
	// changed its status.
	RemoveProof(h http.Header)
}
