package latency

import "time"

// Comparison holds the response times of both kinds of calls.
type Comparison struct {
	Workers int
	Direct  Figures
	Through Figures
}

// Added returns the time that the path through the entry VMs adds at the median and the 99th percentile.
func (c *Comparison) Added() (median, p99 time.Duration) {
	return c.Through.Median - c.Direct.Median, c.Through.P99 - c.Direct.P99
}

// Figures are the response times of one kind of calls.
type Figures struct {
	Calls  int64
	Median time.Duration
	P99    time.Duration
}
