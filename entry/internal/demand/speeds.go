package demand

import "bramleystand.org/common/registry"

const (
	// maxSpeedSamples bounds the weight of earlier requests in a server's speed, in requests.
	maxSpeedSamples = 60
	// minSpeed and maxSpeed bound a measured speed, so that a few unusual requests don't take all
	// load from a server or overload it.
	minSpeed = 0.15
	maxSpeed = 3
	// maxRatio is the largest mean ratio of a request's time to the mean of its kind that a report may state.
	maxRatio = 1e6
)

// Speeds measures the speed of each server relative to the others of its service.
type Speeds struct {
	servers map[registry.Instance]*speed
}

type speed struct {
	// ratio is the mean of the time of a request divided by the mean time of its kind.
	ratio   float64
	samples float64
}

// NewSpeeds returns speeds without any measurement.
func NewSpeeds() *Speeds { return &Speeds{servers: make(map[registry.Instance]*speed)} }

// Add records requests that a server has run. ratioSum is the sum of their times, each relative to
// the mean time of its kind. A sum that can't be right is ignored.
func (s *Speeds) Add(inst registry.Instance, requests int, ratioSum float64) {
	if requests <= 0 || !(ratioSum >= 0 && ratioSum <= maxRatio*float64(requests)) {
		return
	}
	v := s.servers[inst]
	if v == nil {
		// A new server is assumed to have the mean speed, with the weight of ten requests.
		v = &speed{ratio: 1, samples: 10}
		s.servers[inst] = v
	}
	v.samples = min(v.samples+float64(requests), maxSpeedSamples)
	v.ratio += (ratioSum/float64(requests) - v.ratio) * min(1, float64(requests)/v.samples)
}

// Speed returns the speed of a server; 1 is the mean of its service.
func (s *Speeds) Speed(inst registry.Instance) float64 {
	v := s.servers[inst]
	if v == nil || v.ratio <= 0 {
		return 1
	}
	return min(max(1/v.ratio, minSpeed), maxSpeed)
}

// RetainServers removes all servers that are not in the set.
func (s *Speeds) RetainServers(instances map[registry.Instance]bool) {
	for inst := range s.servers {
		if !instances[inst] {
			delete(s.servers, inst)
		}
	}
}
