package coordinator

import "time"

// serverHealth records whether a server answers the coordinator's calls.
type serverHealth struct {
	lastResponse time.Time
	failures     int
	// unproven is true for a server that was silent and accepts connections again, until it answers an
	// order. trialPending is true while an order to it has no result.
	unproven, trialPending bool
	// nextProbe is the earliest time of the next probe while the server is silent.
	nextProbe time.Time
	// ended is true once another instance has refused an order at the server's address.
	ended bool
}
