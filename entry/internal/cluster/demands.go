package cluster

import (
	"sync"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/report"
)

const (
	// maxPendingKeys bounds the keys that wait for the next report.
	maxPendingKeys = 4096
	// meanTimeWeight is the weight, in requests, of earlier requests in an average duration.
	meanTimeWeight = 50
)

// Demands collects the requests and timings that the process reports to the coordinator. It is safe
// for concurrent use.
type Demands struct {
	mu              sync.Mutex
	keys            map[string][]keyspace.Key
	meanServiceTime map[string]time.Duration
	meanTimes       map[requestKind]time.Duration
	samples         map[registry.Instance]*report.Sample
}

// requestKind identifies requests of a service that are expected to take the same time.
type requestKind struct {
	service     string
	requestKind traffic.Kind
	rank        int
}

// NewDemands returns an empty collection.
func NewDemands() *Demands {
	return &Demands{
		keys: make(map[string][]keyspace.Key), meanServiceTime: make(map[string]time.Duration),
		meanTimes: make(map[requestKind]time.Duration), samples: make(map[registry.Instance]*report.Sample),
	}
}

// Ask records a request for a key.
func (d *Demands) Ask(service string, k keyspace.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.keys[service]) >= maxPendingKeys {
		return
	}
	d.keys[service] = append(d.keys[service], k)
}

// AttemptEnded records how long a server took for a request. It implements dispatch.Observer.
func (d *Demands) AttemptEnded(o dispatch.Observation) {
	if !o.Ran || o.Service <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k := requestKind{service: o.Call.Service, requestKind: o.Call.Route.Kind, rank: o.Call.Route.Rank}
	mean, ok := d.meanTimes[k]
	if !ok {
		mean = o.Service
	}
	mean += (o.Service - mean) / meanTimeWeight
	d.meanTimes[k] = mean
	work, ok := d.meanServiceTime[o.Call.Service]
	if !ok {
		work = o.Service
	}
	d.meanServiceTime[o.Call.Service] = work + (o.Service-work)/meanTimeWeight
	s := d.samples[o.Server.Instance]
	if s == nil {
		s = &report.Sample{Service: o.Call.Service, Instance: o.Server.Instance}
		d.samples[o.Server.Instance] = s
	}
	s.Requests++
	s.RelativeTimeSum += o.Service.Seconds() / mean.Seconds()
}

// TakeUnreported returns what was collected since the last call.
func (d *Demands) TakeUnreported() ([]report.Demand, []report.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var demands []report.Demand
	for service, keys := range d.keys {
		if len(keys) > 0 {
			demands = append(demands, report.Demand{Service: service, Keys: keys, MeanServiceTime: d.meanServiceTime[service].Seconds()})
		}
	}
	var samples []report.Sample
	for _, s := range d.samples {
		samples = append(samples, *s)
	}
	clear(d.keys)
	clear(d.samples)
	return demands, samples
}
