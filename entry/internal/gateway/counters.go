package gateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/latency"
)

// Counters counts requests by rank, reason and status, and records their latencies and the time
// they waited for a slot.
type Counters struct {
	requests *expvar.Map
	reasons  *expvar.Map
	statuses *expvar.Map
	retries  *expvar.Int
	refusals *expvar.Map

	mu sync.Mutex
	// latencies and slotWaits hold one histogram per rank.
	latencies map[string]*latency.Histogram
	slotWaits map[string]*latency.Histogram
}

// NewCounters returns counters that are published in the given map.
func NewCounters(m *expvar.Map) *Counters {
	c := &Counters{
		requests: new(expvar.Map), reasons: new(expvar.Map), statuses: new(expvar.Map), retries: new(expvar.Int), refusals: new(expvar.Map),
		latencies: make(map[string]*latency.Histogram), slotWaits: make(map[string]*latency.Histogram),
	}
	m.Set("requests", c.requests)
	m.Set("reasons", c.reasons)
	m.Set("statuses", c.statuses)
	m.Set("resent", c.retries)
	m.Set("refused", c.refusals)
	m.Set("latency", expvar.Func(func() any { return c.quantiles(c.latencies) }))
	m.Set("wait", expvar.Func(func() any { return c.quantiles(c.slotWaits) }))
	return c
}

// recordResult counts a request that the dispatcher has finished.
func (c *Counters) recordResult(call *dispatch.Call, r *dispatch.Result, took time.Duration) {
	rank := strconv.Itoa(call.Route.Rank)
	c.requests.Add(rank, 1)
	c.reasons.Add(string(r.Reason), 1)
	c.statuses.Add(strconv.Itoa(r.Status), 1)
	now := time.Now()
	c.histogram(c.latencies, rank).Record(now, took)
	c.histogram(c.slotWaits, rank).Record(now, r.Waited())
	if r.Attempts > 1 {
		c.retries.Add(int64(r.Attempts - 1))
	}
}

// refuse counts a request that was refused before it was passed to the dispatcher.
func (c *Counters) refuse(status int, reason string) {
	c.statuses.Add(strconv.Itoa(status), 1)
	c.refusals.Add(reason, 1)
}

// histogram returns the histogram of a rank and creates it if there is none yet.
func (c *Counters) histogram(byRank map[string]*latency.Histogram, rank string) *latency.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := byRank[rank]
	if h == nil {
		h = latency.New()
		byRank[rank] = h
	}
	return h
}

// quantiles returns the quantiles of each rank.
func (c *Counters) quantiles(byRank map[string]*latency.Histogram) map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]any, len(byRank))
	for rank, h := range byRank {
		out[rank] = h.Quantiles(time.Now())
	}
	return out
}
