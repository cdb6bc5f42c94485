package control

import "time"

const (
	// LeaseTTL is the longest time for which a lease or a controller's authority lasts.
	LeaseTTL = 1200 * time.Millisecond
	// ClockMargin covers differences between clocks when the end of another process's lease is awaited.
	ClockMargin = LeaseTTL / 10
	// RenewInterval is the time between two renewals of leases and of support.
	RenewInterval = 200 * time.Millisecond
)
