package ticket

import "bramleystand.org/common/outcome"

// Answer is the result of an operation.
type Answer struct {
	Outcome outcome.Outcome
	Status  int
	// Type is the media type of the body.
	Type string
	Body []byte
	// Truncated is set if the body was too long to be kept; Body is then empty.
	Truncated bool
}
