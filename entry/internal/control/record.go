package control

import (
	"time"

	"bramleystand.org/common/outcome"
)

// Record is the operation record of one spent ticket, as handed over with its shard.
type Record struct {
	Ticket  string
	Outcome outcome.Outcome
	// Done is false while the operation runs; a record that is handed over undone has an unknown outcome.
	Done   bool
	Status int
	// Type is the media type of the body.
	Type string
	Body []byte
	// Remaining is the time until the ticket expires, counted from the handover.
	Remaining time.Duration
}
