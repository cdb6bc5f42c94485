package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Request describes what a caller wants to run.
type Request struct {
	Rank rank.Rank
	// Deadline is when the answer must be complete; the zero time means never.
	Deadline time.Time
	// Exclusive asks for a slot with nothing else in flight.
	Exclusive bool
}
