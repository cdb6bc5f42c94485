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

// LoadCollector collects the requests and timings that the process reports to the coordinator. It
// is safe for concurrent use.
type LoadCollector struct {
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

// NewLoadCollector returns an empty collector.
func NewLoadCollector() *LoadCollector {
	return &LoadCollector{
		keys: make(map[string][]keyspace.Key), meanServiceTime: make(map[string]time.Duration),
		meanTimes: make(map[requestKind]time.Duration), samples: make(map[registry.Instance]*report.Sample),
	}
}

// RecordRequest records a request for a key.
func (l *LoadCollector) RecordRequest(service string, k keyspace.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys[service]) >= maxPendingKeys {
		return
	}
	l.keys[service] = append(l.keys[service], k)
}

// AttemptEnded records how long a server took for a request. It implements dispatch.Observer.
func (l *LoadCollector) AttemptEnded(o dispatch.Observation) {
	if !o.Ran || o.Service <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := requestKind{service: o.Call.Service, requestKind: o.Call.Route.Kind, rank: o.Call.Route.Rank}
	mean, ok := l.meanTimes[k]
	if !ok {
		mean = o.Service
	}
	mean += (o.Service - mean) / meanTimeWeight
	l.meanTimes[k] = mean
	serviceMean, ok := l.meanServiceTime[o.Call.Service]
	if !ok {
		serviceMean = o.Service
	}
	l.meanServiceTime[o.Call.Service] = serviceMean + (o.Service-serviceMean)/meanTimeWeight
	s := l.samples[o.Server.Instance]
	if s == nil {
		s = &report.Sample{Service: o.Call.Service, Instance: o.Server.Instance}
		l.samples[o.Server.Instance] = s
	}
	s.Requests++
	s.RelativeTimeSum += o.Service.Seconds() / mean.Seconds()
}

// TakeUnreported returns what was collected since the last call.
func (l *LoadCollector) TakeUnreported() ([]report.Load, []report.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []report.Load
	for service, keys := range l.keys {
		if len(keys) > 0 {
			loads = append(loads, report.Load{Service: service, Keys: keys, MeanServiceTime: l.meanServiceTime[service].Seconds()})
		}
	}
	var samples []report.Sample
	for _, s := range l.samples {
		samples = append(samples, *s)
	}
	clear(l.keys)
	clear(l.samples)
	return loads, samples
}
