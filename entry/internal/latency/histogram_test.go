package latency_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/latency"
)

// Guards against quantiles in the wrong unit, and against old latencies in the recent quantiles.
func TestQuantiles(t *testing.T) {
	now := time.Unix(1000, 0)
	h := latency.New()
	for i := range 1000 {
		h.Record(now, time.Duration(i)*time.Millisecond)
	}
	h.Record(now, time.Hour)
	q := h.Quantiles(now)
	must.Eq(t, 1001, q["total"]["count"])
	must.Between(t, 495, q["total"]["p50"], 505)
	must.Between(t, 980, q["recent"]["p99"], 1000)
	must.Between(t, 59_000, q["recent"]["max"], 61_000)
	h.Record(now.Add(15*time.Second), time.Second)
	must.Eq(t, 1002, h.Quantiles(now.Add(15 * time.Second))["recent"]["count"])
	must.Eq(t, 1, h.Quantiles(now.Add(26 * time.Second))["recent"]["count"])
	q = h.Quantiles(now.Add(time.Minute))
	must.Eq(t, 0, q["recent"]["count"])
	must.Eq(t, 1002, q["total"]["count"])
}
