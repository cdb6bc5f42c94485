// Package demand measures the load of the keys and the speed of the servers of a service.
//
// # Usage
//
//	h := demand.NewHistogram(now, window)
//	h.Add(now, keys, meanServiceTime)
//	prefix, samples := h.PrefixLoads(now)
package demand

import (
	"math"
	"time"

	"bramleystand.org/common/keyspace"
)

// Histogram counts requests by key, with exponential decay.
type Histogram struct {
	counts          [keyspace.KeyCount]float32
	scale           float64
	meanServiceTime float64
	samples         float64
	lastDecay       time.Time
	window          time.Duration
}

// NewHistogram returns an empty histogram in which a request counts for about the time of the
// window.
func NewHistogram(now time.Time, window time.Duration) *Histogram {
	return &Histogram{scale: 1, lastDecay: now, window: window}
}

// Add counts a request for each key. meanServiceTime is the mean service time of a request in
// seconds at a server of speed 1.
func (h *Histogram) Add(now time.Time, keys []keyspace.Key, meanServiceTime float64) {
	if len(keys) == 0 {
		return
	}
	h.decay(now)
	for _, k := range keys {
		h.counts[k] += float32(1 / h.scale)
	}
	n := float64(len(keys))
	h.meanServiceTime += (meanServiceTime - h.meanServiceTime) * n / (h.samples + n)
	h.samples += n
}

// PrefixLoads returns the cumulative load of all keys below each key, in busy slots at a server of
// speed 1, and the number of requests that it is based on.
func (h *Histogram) PrefixLoads(now time.Time) ([]float64, float64) {
	h.decay(now)
	prefix := make([]float64, keyspace.KeyCount+1)
	factor := h.scale * h.meanServiceTime / h.window.Seconds()
	sum := 0.0
	for i, c := range h.counts {
		prefix[i] = sum * factor
		sum += float64(c)
	}
	prefix[keyspace.KeyCount] = sum * factor
	return prefix, h.samples
}

// Total returns the load of all keys, as the last one of PrefixLoads.
func (h *Histogram) Total(now time.Time) float64 {
	h.decay(now)
	return h.samples * h.meanServiceTime / h.window.Seconds()
}

// decay reduces the weight of earlier requests.
func (h *Histogram) decay(now time.Time) {
	elapsed := now.Sub(h.lastDecay)
	if elapsed <= 0 {
		return
	}
	h.lastDecay = now
	factor := math.Exp(-elapsed.Seconds() / h.window.Seconds())
	h.samples *= factor
	h.scale *= factor
	if h.scale > 1e-6 {
		return
	}
	// New counts are divided by the scale, which must not become too small.
	for i := range h.counts {
		h.counts[i] *= float32(h.scale)
	}
	h.scale = 1
}
