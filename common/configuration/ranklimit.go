package configuration

import "time"

// RankLimit holds the limits of one rank at one upstream.
type RankLimit struct {
	// Floor is the share of slots, in percent, that the rank keeps while it has work.
	Floor int
	// Cap is the largest share of slots, in percent, that the rank may use at once.
	Cap int
	// Queue is the largest number of waiting requests.
	Queue int
	// Timeout is the time a request may take if its caller names none.
	Timeout time.Duration
}
