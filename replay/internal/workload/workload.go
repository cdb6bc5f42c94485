// Package workload generates traces for the deployments. Arrivals follow a Poisson
// process, keys follow a Zipf distribution, and the hot keys change over time.
//
// The same workload always generates the same trace.
//
// # Usage
//
//	w := workload.Workload{Deployment: d, Day: workload.Week, Rate: 200, Duration: time.Minute, Seed: 1}
//	err := trace.Write(file, w.Trace())
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/trace"
)

const (
	// hotKeySets is the number of sets of hot keys that follow each other in a trace.
	hotKeySets = 6
	// floodFactor is the ratio of the arrival rate of the flooding rank to its ordinary rate.
	floodFactor = 10
	// weekFactor is the ratio of the arrival rate at the peak of a festival or arrival
	// week to the ordinary rate.
	weekFactor = 2
	// firstServiceUploads is the share of uploads that go to the first service, whose
	// servers run the urgent requests too.
	firstServiceUploads = 0.3
	kibibyte            = 1 << 10
)

// Workload describes the trace to generate.
type Workload struct {
	Deployment deployment.Deployment
	Day        Day
	// Rate is the average number of requests per second on an ordinary day.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Trace returns the generated requests in order of arrival, with the objectives of each rank.
func (w *Workload) Trace() *trace.Trace {
	random := rand.New(rand.NewPCG(w.Seed, uint64(len(w.Day))))
	zipfs := make([]*rand.Zipf, len(w.Deployment.Services))
	for i, s := range w.Deployment.Services {
		zipfs[i] = rand.NewZipf(random, w.zipfExponent(), 4, uint64(s.Keys-1))
	}
	t := &trace.Trace{Deployment: w.Deployment.Name, Day: string(w.Day), Seed: w.Seed, Objectives: objectives()}
	maxRate := w.Rate * float64(floodFactor)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= w.Duration {
			return t
		}
		k, ok := w.drawRank(random, at, maxRate)
		if !ok {
			continue
		}
		i := w.serviceIndex(random, k)
		t.Requests = append(t.Requests, trace.Request{
			Arrival: at.Truncate(time.Microsecond),
			Service: w.Deployment.Services[i].Name,
			Key:     w.keyName(w.Deployment.Services[i], zipfs[i].Uint64(), at),
			Rank:    k,
			Size:    bodySize(random, k),
			Target:  t.Objectives[k].Target,
		})
	}
}

// drawRank draws the rank of an arrival, or reports false to drop it. This thins a
// Poisson process of the maximum rate to the rate of each rank at the given time.
func (w *Workload) drawRank(random *rand.Rand, at time.Duration, maxRate float64) (rank.Rank, bool) {
	x := random.Float64() * maxRate
	for i := range rank.Count {
		k := rank.Rank(i)
		x -= w.Rate * float64(w.Deployment.RankPercent[k]) / 100 * w.rateFactor(k, at)
		if x < 0 {
			return k, true
		}
	}
	return 0, false
}

// rateFactor returns the ratio of a rank's rate at the given time to its ordinary rate.
func (w *Workload) rateFactor(k rank.Rank, at time.Duration) float64 {
	progress := float64(at) / float64(w.Duration)
	flooding := progress >= 1.0/3 && progress < 2.0/3
	switch {
	case w.Day == UploadFlood && k == rank.Upload && flooding,
		w.Day == ConfirmationFlood && k == rank.Confirmation && flooding:
		return floodFactor
	case w.Day == Week:
		return 1 + (weekFactor-1)*math.Sin(math.Pi*progress)
	}
	return 1
}

func (w *Workload) zipfExponent() float64 {
	if w.Day == Week {
		return w.Deployment.ZipfExponent + 0.2
	}
	return w.Deployment.ZipfExponent
}

func (w *Workload) serviceIndex(random *rand.Rand, k rank.Rank) int {
	if k == rank.Upload && len(w.Deployment.Services) > 1 && random.Float64() >= firstServiceUploads {
		return 1
	}
	return 0
}

// keyName returns the key with a popularity index, where 0 is the most popular. The
// mapping shifts with each set of hot keys.
func (w *Workload) keyName(s deployment.Service, popularityIndex uint64, at time.Duration) string {
	set := uint64(at * hotKeySets / w.Duration)
	shift := set * uint64(s.Keys) / (hotKeySets + 1)
	return fmt.Sprintf("%s-%05d", s.Prefix, (popularityIndex+shift)%uint64(s.Keys))
}

func bodySize(random *rand.Rand, k rank.Rank) int64 {
	switch k {
	case rank.Confirmation:
		return 200 + random.Int64N(400)
	case rank.Upload:
		// A log-normal distribution with a median of 48 KiB, limited to 1 MiB.
		return int64(min(math.Exp(random.NormFloat64())*48*kibibyte, 1024*kibibyte))
	}
	return 0
}

// objectives returns the objectives of both deployments for every kind of day.
func objectives() [rank.Count]trace.Objective {
	return [rank.Count]trace.Objective{
		rank.Confirmation: {Share: 99.9, Target: time.Second, Timeout: 8 * time.Second},
		rank.Lookup:       {Share: 99, Target: 300 * time.Millisecond, Timeout: 5 * time.Second},
		rank.Upload:       {Share: 99, Target: 20 * time.Second, Timeout: 60 * time.Second, Lossless: true},
	}
}
