package admission

import "time"

// Request is a request that needs a slot.
type Request struct {
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Objective is the time until which the response has its full value, and Deadline the time
	// after which it has none.
	Objective time.Time
	Deadline  time.Time
	// Arrived is when the entry process received the request.
	Arrived time.Time
	// Tag is for the caller to identify the request; the scheduler does not use it.
	Tag any

	sequence uint64
	// late is true once the request can no longer meet its objective.
	late    bool
	running bool
}
