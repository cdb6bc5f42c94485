// Package latency measures times as quantiles, since the start and of the latest seconds.
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
	// longest is the longest time that is told apart; requests end after a minute at most.
	longest = time.Minute
	// digits is the number of significant decimal digits, which keeps a histogram at 10 KB.
	digits = 2
	// window is the shortest time that the recent quantiles are of; the longest is twice that.
	window = 10 * time.Second
)

// Histogram counts times in milliseconds. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	total  *hdrhistogram.Histogram
	recent [2]*hdrhistogram.Histogram
	turned time.Time
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{total: empty(), recent: [2]*hdrhistogram.Histogram{empty(), empty()}}
}

func empty() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Milliseconds(), digits)
}

// Record counts one time. What is longer than a minute counts as a minute.
func (h *Histogram) Record(now time.Time, took time.Duration) {
	ms := min(max(took, 0), longest).Milliseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn(now)
	// The value is within the bounds, so there is no error.
	_ = h.total.RecordValue(ms)
	_ = h.recent[0].RecordValue(ms)
}

// turn begins a new part of the recent times. The mutex is held.
func (h *Histogram) turn(now time.Time) {
	since := now.Sub(h.turned)
	if since < window {
		return
	}
	h.turned = now
	h.recent[0], h.recent[1] = h.recent[1], h.recent[0]
	h.recent[0].Reset()
	if since >= 2*window {
		h.recent[1].Reset()
	}
}

// Quantiles returns counts and quantiles in ms: "total" since the start, "recent" of the last 10 to 20 s.
func (h *Histogram) Quantiles(now time.Time) map[string]map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn(now)
	recent := empty()
	for _, r := range h.recent {
		recent.Merge(r)
	}
	return map[string]map[string]int64{"total": quantiles(h.total), "recent": quantiles(recent)}
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
		"p99": h.ValueAtQuantile(99), "p999": h.ValueAtQuantile(99.9), "max": h.Max(),
	}
}
