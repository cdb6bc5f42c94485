package dispatch

import (
	"sync"
	"time"

	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/latency"
)

// expectedQuantile is the quantile in percent of the recent durations that a request is expected to need.
const expectedQuantile = 99

// durations records how long servers take for requests of the same kind. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byClass map[requestClass]*latency.Histogram
}

// requestClass identifies requests that are expected to take the same time.
type requestClass struct {
	service string
	kind    traffic.Kind
	rank    int
}

func newDurations() *durations { return &durations{byClass: make(map[requestClass]*latency.Histogram)} }

func (d *durations) histogram(c *Call) *latency.Histogram {
	class := requestClass{service: c.Service, kind: c.Route.Kind, rank: c.Route.Rank}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byClass[class]
	if h == nil {
		h = latency.New()
		d.byClass[class] = h
	}
	return h
}

// record records the duration of a request that a server has run.
func (d *durations) record(now time.Time, c *Call, took time.Duration) {
	d.histogram(c).Record(now, took)
}

// expected returns the time that all but the slowest requests like c take; zero if none has ended lately.
func (d *durations) expected(now time.Time, c *Call) time.Duration {
	return d.histogram(c).Recent(now, expectedQuantile)
}
