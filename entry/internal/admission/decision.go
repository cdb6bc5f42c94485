package admission

import "time"

// Decision tells whether a request got a slot or was refused.
type Decision struct {
	Request *Request
	// Started is true if the request has a slot; otherwise it is refused.
	Started bool
	// RetryAt is when a refused request may be submitted again.
	RetryAt time.Time
	// OverRate is true if the request was refused because of the rate that the server takes.
	OverRate bool
}
