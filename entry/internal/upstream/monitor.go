package upstream

import "time"

// Monitor gets the events from which the failure detector derives the state of the server.
type Monitor interface {
	// Sent records a request that must be answered by the deadline. It returns the id of the request.
	Sent(now, deadline time.Time) uint64
	// Answered records that the server has responded to a request.
	Answered(now time.Time, id uint64)
	// Broken records that the connection of a request broke.
	Broken(now time.Time, id uint64)
	// Refused records that the server refused a connection for a request.
	Refused(now time.Time, id uint64)
	// Finished records that no response is expected for a request any more.
	Finished(id uint64)
}
