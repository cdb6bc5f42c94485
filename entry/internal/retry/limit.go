package retry

// Limit sets how many retries the requests of a service may use.
type Limit struct {
	// RetriesPerRequest is the number of retries that each request adds to the budget.
	RetriesPerRequest float64
	// RetriesPerSecond is the number of retries a second that are added without any traffic.
	RetriesPerSecond float64
	// Burst is the largest number of retries in the budget.
	Burst float64
	// Initial is the number of retries in the budget of a service that is used for the first time.
	Initial float64
}

// Default is the limit for requests on the product's own interface: 10% of the requests and 10 a
// second.
var Default = Limit{RetriesPerRequest: 0.1, RetriesPerSecond: 10, Burst: 100, Initial: 100}

// Shared returns one of n equal parts of a limit that all VMs share without communicating. Over
// any window, all parts together allow at most share times the requests plus burst. A part starts
// with an empty budget, because a process that restarts has lost the count of what it has spent.
func Shared(share, burst float64, n int) Limit {
	return Limit{RetriesPerRequest: share, Burst: max(1, burst/float64(max(1, n)))}
}
