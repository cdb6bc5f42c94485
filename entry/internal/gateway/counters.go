package gateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/latency"
)

// Counters counts requests by rank, reason and status, and measures their times.
type Counters struct {
	requests *expvar.Map
	reasons  *expvar.Map
	statuses *expvar.Map
	resent   *expvar.Int
	refused  *expvar.Map

	mu sync.Mutex
	// times and waits have the histograms by rank.
	times map[string]*latency.Histogram
	waits map[string]*latency.Histogram
}

// NewCounters returns counters that are published in a map.
func NewCounters(m *expvar.Map) *Counters {
	c := &Counters{
		requests: new(expvar.Map), reasons: new(expvar.Map), statuses: new(expvar.Map), resent: new(expvar.Int), refused: new(expvar.Map),
		times: make(map[string]*latency.Histogram), waits: make(map[string]*latency.Histogram),
	}
	m.Set("requests", c.requests)
	m.Set("reasons", c.reasons)
	m.Set("statuses", c.statuses)
	m.Set("resent", c.resent)
	m.Set("refused", c.refused)
	m.Set("latency", expvar.Func(func() any { return c.quantiles(c.times) }))
	m.Set("wait", expvar.Func(func() any { return c.quantiles(c.waits) }))
	return c
}

// count notes the end of a request.
func (c *Counters) count(call *dispatch.Call, r *dispatch.Result, took time.Duration) {
	rank := strconv.Itoa(call.Route.Rank)
	c.requests.Add(rank, 1)
	c.reasons.Add(string(r.Reason), 1)
	c.statuses.Add(strconv.Itoa(r.Status), 1)
	now := time.Now()
	c.histogram(c.times, rank).Record(now, took)
	c.histogram(c.waits, rank).Record(now, r.Waited())
	if r.Attempts > 1 {
		c.resent.Add(int64(r.Attempts - 1))
	}
}

// refuse notes a request that was refused before it was given to a server.
func (c *Counters) refuse(status int, reason string) {
	c.statuses.Add(strconv.Itoa(status), 1)
	c.refused.Add(reason, 1)
}

// histogram returns the histogram of a rank.
func (c *Counters) histogram(all map[string]*latency.Histogram, rank string) *latency.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := all[rank]
	if h == nil {
		h = latency.New()
		all[rank] = h
	}
	return h
}

// quantiles returns the quantiles by rank.
func (c *Counters) quantiles(all map[string]*latency.Histogram) map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]any, len(all))
	for rank, h := range all {
		out[rank] = h.Quantiles(time.Now())
	}
	return out
}
