package backend

import (
	"io"
	"net/http"

	"bramleystand.org/common/outcome"
)

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Outcome is the one in the outcome header of the response. Without that header it is Ran,
	// which is certain only once Body has been read to its end without an error.
	Outcome outcome.Outcome
	// Body ends with io.EOF only if the response is complete. Any other error is an *Error.
	Body io.ReadCloser
	// BodyLength is -1 if it is not known.
	BodyLength int64
}
