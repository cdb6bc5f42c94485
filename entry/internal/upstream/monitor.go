package upstream

import "time"

// Monitor collects evidence on the state of the server.
type Monitor interface {
	// Sent notes a request that is answered by the deadline at the latest; the number identifies it.
	Sent(now, deadline time.Time) uint64
	// Answered notes a sign of life in answer to a request.
	Answered(now time.Time, id uint64)
	// Broken notes that the connection of a request broke.
	Broken(now time.Time, id uint64)
	// Refused notes that no connection could be opened for a request.
	Refused(now time.Time, id uint64)
	// Finished notes that nothing is expected for a request any more.
	Finished(id uint64)
}
