// Package workload generates traces for the deployments: arrivals that follow a
// Poisson process, keys that follow a Zipf distribution, and hot keys that move.
//
// The same workload always gives the same trace.
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
	// hotSets is the number of times that the hot keys change in a trace.
	hotSets = 6
	// floodFactor is the arrival rate of the flooding rank over its ordinary rate.
	floodFactor = 10
	// weekFactor is the arrival rate at the peak of a festival or arrival week over the ordinary rate.
	weekFactor = 2
	// foreignShare is the share of uploads that go to the first service, which shares its servers with urgent work.
	foreignShare = 0.3
	kilobyte     = 1 << 10
)

// Workload describes the trace to generate.
type Workload struct {
	Deployment deployment.Deployment
	Day        Day
	// Rate is the average number of requests a second on an ordinary day.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Trace generates the trace.
func (w *Workload) Trace() *trace.Trace {
	random := rand.New(rand.NewPCG(w.Seed, uint64(len(w.Day))))
	zipfs := make([]*rand.Zipf, len(w.Deployment.Services))
	for i, s := range w.Deployment.Services {
		zipfs[i] = rand.NewZipf(random, w.skew(), 4, uint64(s.Keys-1))
	}
	t := &trace.Trace{Deployment: w.Deployment.Name, Day: string(w.Day), Seed: w.Seed, Expectations: expectations()}
	highest := w.Rate * float64(floodFactor)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= w.Duration {
			return t
		}
		k, ok := w.pick(random, at, highest)
		if !ok {
			continue
		}
		i := w.service(random, k)
		t.Requests = append(t.Requests, trace.Request{
			Arrival: at.Truncate(time.Microsecond),
			Service: w.Deployment.Services[i].Name,
			Key:     w.key(w.Deployment.Services[i], zipfs[i].Uint64(), at),
			Rank:    k,
			Size:    size(random, k),
			Target:  t.Expectations[k].Target,
		})
	}
}

// pick thins a Poisson process of the highest rate to the rate of each rank at the given time.
func (w *Workload) pick(random *rand.Rand, at time.Duration, highest float64) (rank.Rank, bool) {
	x := random.Float64() * highest
	for i := range rank.Count {
		k := rank.Rank(i)
		x -= w.Rate * float64(w.Deployment.Mix[k]) / 100 * w.factor(k, at)
		if x < 0 {
			return k, true
		}
	}
	return 0, false
}

// factor returns the rate of a rank at the given time over its ordinary rate.
func (w *Workload) factor(k rank.Rank, at time.Duration) float64 {
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

func (w *Workload) skew() float64 {
	if w.Day == Week {
		return w.Deployment.Skew + 0.2
	}
	return w.Deployment.Skew
}

func (w *Workload) service(random *rand.Rand, k rank.Rank) int {
	if k == rank.Upload && len(w.Deployment.Services) > 1 && random.Float64() >= foreignShare {
		return 1
	}
	return 0
}

// key maps a popularity to a key; the mapping shifts with each hot set.
func (w *Workload) key(s deployment.Service, popularity uint64, at time.Duration) string {
	set := uint64(at * hotSets / w.Duration)
	shift := set * uint64(s.Keys) / (hotSets + 1)
	return fmt.Sprintf("%s-%05d", s.Prefix, (popularity+shift)%uint64(s.Keys))
}

func size(random *rand.Rand, k rank.Rank) int64 {
	switch k {
	case rank.Confirmation:
		return 200 + random.Int64N(400)
	case rank.Upload:
		// A log-normal distribution around 48 KiB, cut at 1 MiB.
		return int64(min(math.Exp(random.NormFloat64())*48*kilobyte, 1024*kilobyte))
	}
	return 0
}

// expectations returns what both deployments expect on every day.
func expectations() [rank.Count]trace.Expectation {
	return [rank.Count]trace.Expectation{
		rank.Confirmation: {Share: 99.9, Target: time.Second, Timeout: 8 * time.Second},
		rank.Lookup:       {Share: 99, Target: 300 * time.Millisecond, Timeout: 5 * time.Second},
		rank.Upload:       {Share: 99, Target: 20 * time.Second, Timeout: 60 * time.Second, Lossless: true},
	}
}
