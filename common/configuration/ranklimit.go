package configuration

import "time"

// RankLimit holds the limits of one rank at one upstream.
type RankLimit struct {
	// Floor is the share of slots, in percent, that is reserved for the rank while it has requests.
	Floor int
	// Cap is the largest share of slots, in percent, that the rank may use at once.
	Cap int
	// Queue is the maximum number of waiting requests.
	Queue int
	// Timeout is the timeout of a request whose caller sets none.
	Timeout time.Duration
}
