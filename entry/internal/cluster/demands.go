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
	// mostKeys bounds the keys that wait for the next report.
	mostKeys = 4096
	// kindSamples is the weight of the past in the mean time of a kind of request.
	kindSamples = 50
)

// Demands collects what the process tells the coordinator. It is safe for concurrent use.
type Demands struct {
	mu      sync.Mutex
	keys    map[string][]keyspace.Key
	work    map[string]time.Duration
	means   map[kind]time.Duration
	samples map[registry.Life]*report.Sample
}

// kind is a kind of request at a service.
type kind struct {
	service string
	kind    traffic.Kind
	rank    int
}

// NewDemands returns an empty collection.
func NewDemands() *Demands {
	return &Demands{
		keys: make(map[string][]keyspace.Key), work: make(map[string]time.Duration),
		means: make(map[kind]time.Duration), samples: make(map[registry.Life]*report.Sample),
	}
}

// Ask notes a request for a key.
func (d *Demands) Ask(service string, k keyspace.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.keys[service]) >= mostKeys {
		return
	}
	d.keys[service] = append(d.keys[service], k)
}

// Served implements dispatch.Observer.
func (d *Demands) Served(o dispatch.Observation) {
	if !o.Ran || o.Service <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k := kind{service: o.Call.Service, kind: o.Call.Route.Kind, rank: o.Call.Route.Rank}
	mean, ok := d.means[k]
	if !ok {
		mean = o.Service
	}
	mean += (o.Service - mean) / kindSamples
	d.means[k] = mean
	work, ok := d.work[o.Call.Service]
	if !ok {
		work = o.Service
	}
	d.work[o.Call.Service] = work + (o.Service-work)/kindSamples
	s := d.samples[o.Server.Life]
	if s == nil {
		s = &report.Sample{Service: o.Call.Service, Life: o.Server.Life}
		d.samples[o.Server.Life] = s
	}
	s.Requests++
	s.Ratios += o.Service.Seconds() / mean.Seconds()
}

// Take returns what has been collected since the last call.
func (d *Demands) Take() ([]report.Demand, []report.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var demands []report.Demand
	for service, keys := range d.keys {
		if len(keys) > 0 {
			demands = append(demands, report.Demand{Service: service, Keys: keys, Work: d.work[service].Seconds()})
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
