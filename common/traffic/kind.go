package traffic

// Kind says whether the requests of a route may run more than once.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests carry large bodies and run at most once.
	Upload
)

// Retryable reports whether a request that may have run can be sent again.
func (k Kind) Retryable() bool { return k == Idempotent }
