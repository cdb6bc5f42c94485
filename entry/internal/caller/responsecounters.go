package caller

import (
	"expvar"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// ResponseCounters counts responses and sums their latencies by rank and outcome.
type ResponseCounters struct {
	responses           *expvar.Map
	latencyMicroseconds *expvar.Map
}

// NewResponseCounters returns counters that are published in the given expvar map.
func NewResponseCounters(parent *expvar.Map) *ResponseCounters {
	c := &ResponseCounters{responses: new(expvar.Map), latencyMicroseconds: new(expvar.Map)}
	parent.Set("answers", c.responses)
	parent.Set("answer_microseconds", c.latencyMicroseconds)
	return c
}

// counterNames contains the expvar key for each rank and outcome, so that Count does not allocate.
var counterNames = func() (n [rank.Count][3]string) {
	for r := range n {
		for o := range n[r] {
			n[r][o] = rank.Rank(r).String() + "." + outcome.Outcome(o).String()
		}
	}
	return n
}()

// Count adds one response and its latency.
func (c *ResponseCounters) Count(r rank.Rank, o outcome.Outcome, latency time.Duration) {
	name := counterNames[r][o]
	c.responses.Add(name, 1)
	c.latencyMicroseconds.Add(name, latency.Microseconds())
}
