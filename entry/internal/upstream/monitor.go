package upstream

import "time"

// Monitor gets the events from which the failure detector derives the state of the server.
type Monitor interface {
	// RequestSent records a request that must be answered by the deadline. It returns the id of the request.
	RequestSent(now, deadline time.Time) uint64
	// ResponseStarted records that the server has responded to a request.
	ResponseStarted(now time.Time, id uint64)
	// ConnectionBroken records that the connection of a request broke.
	ConnectionBroken(now time.Time, id uint64)
	// ConnectionRefused records that the server refused a connection for a request.
	ConnectionRefused(now time.Time, id uint64)
	// ResponseFinished records that no response is expected for a request any more.
	ResponseFinished(id uint64)
}
