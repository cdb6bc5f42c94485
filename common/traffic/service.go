package traffic

import "time"

// Service is a set of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the largest number of connections that one backend server accepts.
	Connections int
	// Sharded is true if each key belongs to one backend server exclusively. Requests to other
	// services may go to any of their servers.
	Sharded bool
	// WarmUp is how long requests for a key are slow on a server that took it over without a
	// handover.
	WarmUp time.Duration
	// ColdRate is the number of requests a second that a server bears while it is cold, after its
	// start for example; zero if it needs no protection.
	ColdRate float64
}
