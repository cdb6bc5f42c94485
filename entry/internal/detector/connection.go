package detector

import "time"

// Connection identifies a connection to the backend server. The caller chooses the numbers.
type Connection uint64

// pendingResponse is the state of a connection with a request in flight.
type pendingResponse struct {
	// lastActivity is when the request was sent or the last byte was received.
	lastActivity time.Time
	// overdueAt is when the next byte becomes overdue.
	overdueAt time.Time
}
