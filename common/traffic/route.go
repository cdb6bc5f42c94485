package traffic

import "time"

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts int
	// Timeout is the maximum time until a client has its response.
	Timeout time.Duration
	// Objective is the target response time; a later response is worth less to the client.
	Objective time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank             int
	WeightedServices []WeightedService
}
