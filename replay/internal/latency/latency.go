// Package latency compares calls through an entry VM with calls that go directly
// to the backend server.
//
// Both kinds alternate in short rounds of one run, so that a change of the
// vm's speed affects both alike.
//
// # Usage
//
//	l := latency.New(direct, through)
//	comparison, err := l.Measure(ctx, 64, 10*time.Second)
package latency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// round is the time for which one kind of call is made before the other kind has its turn.
	round = 250 * time.Millisecond
	// highest is the longest call that the histograms hold, in nanoseconds.
	highest = int64(time.Minute)
	digits  = 3
)

// Call makes one call for a worker and returns after its whole answer.
type Call func(ctx context.Context, worker int) error

// Latency compares two kinds of calls.
type Latency struct {
	direct  Call
	through Call
}

// New returns a comparison of direct calls with those through an entry VM.
func New(direct, through Call) *Latency {
	return &Latency{direct: direct, through: through}
}

// Measure lets a number of workers call without pause for about the given time.
func (l *Latency) Measure(ctx context.Context, workers int, duration time.Duration) (Comparison, error) {
	direct, through := hdrhistogram.New(1, highest, digits), hdrhistogram.New(1, highest, digits)
	// The first rounds open connections and are not counted.
	discarded := hdrhistogram.New(1, highest, digits)
	if err := errors.Join(burst(ctx, l.direct, workers, discarded), burst(ctx, l.through, workers, discarded)); err != nil {
		return Comparison{}, err
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if err := burst(ctx, l.direct, workers, direct); err != nil {
			return Comparison{}, fmt.Errorf("latency: direct call: %w", err)
		}
		if err := burst(ctx, l.through, workers, through); err != nil {
			return Comparison{}, fmt.Errorf("latency: call through an entry VM: %w", err)
		}
	}
	return Comparison{Workers: workers, Direct: figures(direct), Through: figures(through)}, nil
}

// burst lets all workers call for one round.
func burst(ctx context.Context, call Call, workers int, times *hdrhistogram.Histogram) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := time.Now().Add(round)
	histograms := make([]*hdrhistogram.Histogram, workers)
	var group sync.WaitGroup
	for i := range workers {
		h := hdrhistogram.New(1, highest, digits)
		histograms[i] = h
		group.Go(func() {
			for begin := time.Now(); begin.Before(end) && ctx.Err() == nil; begin = time.Now() {
				if err := call(ctx, i); err != nil {
					cancel(err)
					return
				}
				// The value is in range by the bound, so recording cannot fail.
				_ = h.RecordValue(min(int64(time.Since(begin)), highest))
			}
		})
	}
	group.Wait()
	for _, h := range histograms {
		times.Merge(h)
	}
	return context.Cause(ctx)
}

func figures(h *hdrhistogram.Histogram) Figures {
	return Figures{
		Calls:  h.TotalCount(),
		Median: time.Duration(h.ValueAtQuantile(50)),
		P99:    time.Duration(h.ValueAtQuantile(99)),
	}
}
