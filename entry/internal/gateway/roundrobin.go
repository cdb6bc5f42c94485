package gateway

import (
	"sync"

	"bramleystand.org/common/traffic"
)

// roundRobin distributes the requests of a route over its services in proportion to their weights.
// It is a smooth weighted round-robin: the shares also hold over a short sequence of requests.
type roundRobin struct {
	mu      sync.Mutex
	credits map[*traffic.Route][]float64
}

// maxTrackedRoutes limits the routes with stored credits; each new configuration adds new ones.
const maxTrackedRoutes = 1024

func newRoundRobin() *roundRobin { return &roundRobin{credits: make(map[*traffic.Route][]float64)} }

// pick returns the service for the next request of a route.
func (rr *roundRobin) pick(r *traffic.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	credits := rr.credits[r]
	if credits == nil {
		if len(rr.credits) >= maxTrackedRoutes {
			clear(rr.credits)
		}
		credits = make([]float64, len(r.WeightedServices))
		rr.credits[r] = credits
	}
	total, best := 0.0, 0
	for i, b := range r.WeightedServices {
		credits[i] += b.Weight
		total += b.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.WeightedServices[best].Service
}
