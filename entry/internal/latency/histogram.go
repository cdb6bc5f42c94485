// Package latency records latencies and returns their quantiles since the start and over the most
// recent seconds.
//
// # Usage
//
//	h := latency.New()
//	h.Record(time.Now(), took)
//	m.Set("latency", expvar.Func(func() any { return h.Quantiles(time.Now()) }))
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest value that a histogram records; requests end after a minute at most.
	maxLatency = time.Minute
	// significantDigits is the decimal precision of the values. With two digits a histogram takes 10 KB.
	significantDigits = 2
	// recentWindow is the shortest time that the recent quantiles cover; the longest is twice that.
	recentWindow = 10 * time.Second
)

// Histogram counts latencies in milliseconds. It is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	total *hdrhistogram.Histogram
	// recent holds the current histogram and the one before it.
	recent      [2]*hdrhistogram.Histogram
	windowStart time.Time
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{total: newHistogram(), recent: [2]*hdrhistogram.Histogram{newHistogram(), newHistogram()}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
}

// Record counts one latency. One of more than a minute counts as a minute.
func (h *Histogram) Record(now time.Time, d time.Duration) {
	ms := min(max(d, 0), maxLatency).Milliseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	// The value is within the bounds of the histograms, so there is no error.
	_ = h.total.RecordValue(ms)
	_ = h.recent[0].RecordValue(ms)
}

// rotate starts a new recent histogram when the current one has covered recentWindow, and discards the
// one before it. The mutex is held.
func (h *Histogram) rotate(now time.Time) {
	since := now.Sub(h.windowStart)
	if since < recentWindow {
		return
	}
	h.windowStart = now
	h.recent[0], h.recent[1] = h.recent[1], h.recent[0]
	h.recent[0].Reset()
	if since >= 2*recentWindow {
		h.recent[1].Reset()
	}
}

// Quantiles returns counts and quantiles in ms: "total" since the start, "recent" over the last 10 to 20 s.
func (h *Histogram) Quantiles(now time.Time) map[string]map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	recent := h.mergeRecent(now)
	return map[string]map[string]int64{"total": quantiles(h.total), "recent": quantiles(recent)}
}

// Recent returns a quantile in percent over the last 10 to 20 s, or zero if there was nothing to record.
func (h *Histogram) Recent(now time.Time, percent float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.mergeRecent(now).ValueAtQuantile(percent)) * time.Millisecond
}

// mergeRecent returns the recent histograms as one. The mutex is held.
func (h *Histogram) mergeRecent(now time.Time) *hdrhistogram.Histogram {
	h.rotate(now)
	recent := newHistogram()
	for _, r := range h.recent {
		recent.Merge(r)
	}
	return recent
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
		"p99": h.ValueAtQuantile(99), "p999": h.ValueAtQuantile(99.9), "max": h.Max(),
	}
}
