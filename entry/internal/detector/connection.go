package detector

import "time"

// Connection identifies a connection to the backend server.
type Connection uint64

// link is what is known about a connection with a request in flight.
type link struct {
	// heard is when the request was sent or the last byte came.
	heard time.Time
	// expected is when the next byte is overdue.
	expected time.Time
}
