package trace

import (
	"time"

	"bramleystand.org/common/rank"
)

// Request is one request of a trace.
type Request struct {
	// Arrival is the time since the start of the trace.
	Arrival time.Duration
	Service string
	Key     string
	Rank    rank.Rank
	// Size is the length of the body in bytes.
	Size int64
	// Target is the response time that the caller expects.
	Target time.Duration
}
