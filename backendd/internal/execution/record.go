package execution

import "time"

// Result says how a request ended.
type Result string

// The results. Only Ran means that the request took effect.
const (
	Ran       Result = "ran"
	Refused   Result = "refused"
	Aborted   Result = "aborted"
	Cancelled Result = "cancelled"
)

// Record describes one request that reached the server. Times are readings of the
// server's clock.
type Record struct {
	Sequence  uint64
	Key       string
	Shard     uint32
	Rank      string
	Operation string
	Fence     uint64
	// Started is zero if the request was refused before it started.
	Started time.Duration
	Ended   time.Duration
	Result  Result
	Reason  string
}
