package latency

import "time"

// Comparison holds the response times of direct calls and of calls through an entry
// VM.
type Comparison struct {
	Workers  int
	Direct   CallTimes
	ViaEntry CallTimes
}

// Added returns the time that an entry VM adds at the median and at the 99th
// percentile.
func (c *Comparison) Added() (median, p99 time.Duration) {
	return c.ViaEntry.Median - c.Direct.Median, c.ViaEntry.P99 - c.Direct.P99
}

// CallTimes holds the number of calls of one kind and their response times.
type CallTimes struct {
	Calls  int64
	Median time.Duration
	P99    time.Duration
}
