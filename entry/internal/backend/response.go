package backend

import (
	"io"
	"net/http"

	"bramleystand.org/common/outcome"
)

// Response is the answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Outcome is NotRun if the server says so, Unknown if it says that, and else Ran,
	// which holds once Body has been read to its end without an error.
	Outcome outcome.Outcome
	// Body ends with io.EOF only if the answer is complete; any other error is an *Error.
	Body io.ReadCloser
	// Length is -1 if it is not known.
	Length int64
}
