package control

import (
	"time"

	"bramleystand.org/common/outcome"
)

// Record is the operation record of a used ticket: whether the operation has ended, and its
// response. It is handed over with the shard.
type Record struct {
	Ticket  string
	Outcome outcome.Outcome
	// Done is false while the operation runs. A record that is handed over before it is done has an
	// unknown outcome.
	Done   bool
	Status int
	// Type is the media type of Body.
	Type string
	Body []byte
	// Remaining is the time from the handover until the ticket expires.
	Remaining time.Duration
}
