package coordinator

import "time"

// serverHealth records whether a server answers the coordinator's calls.
type serverHealth struct {
	lastResponse time.Time
	failures     int
	probing      bool
	// ended is true once another instance has refused an order at the server's address.
	ended bool
}
