package control

import "time"

const (
	// LeaseTTL is the longest duration of a lease, and of a controller's authority, without renewal.
	LeaseTTL = 1200 * time.Millisecond
	// ClockMargin is added when waiting for the end of another process's lease, because the clocks
	// of the two processes may run at different rates.
	ClockMargin = LeaseTTL / 10
	// RenewInterval is the time between two renewals of a lease or of support.
	RenewInterval = 200 * time.Millisecond
)
