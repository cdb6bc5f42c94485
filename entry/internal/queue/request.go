package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Request describes a request that needs a slot.
type Request struct {
	Rank rank.Rank
	// Deadline is when the response must be complete; the zero time means no deadline.
	Deadline time.Time
	// Exclusive asks to run while no other request is in flight at the backend server.
	Exclusive bool
}
