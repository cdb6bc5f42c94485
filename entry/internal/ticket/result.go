package ticket

import "bramleystand.org/common/outcome"

// Result is the stored response of an operation, which is returned to resends of its request.
type Result struct {
	Outcome outcome.Outcome
	Status  int
	// Type is the media type of the body.
	Type string
	Body []byte
	// Truncated is set if the body was too long to be stored; Body is then empty.
	Truncated bool
}
