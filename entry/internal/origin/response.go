package origin

import "net/http"

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// HasServerProof is true if the response carries the server's proof that it made the response.
	HasServerProof bool
}
