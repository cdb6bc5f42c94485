// Package latency compares the response times of calls through an entry VM with
// those of calls directly to the backend server.
//
// The two kinds of calls alternate in short rounds of one run, so that a change of
// the VM's speed affects both equally.
//
// # Usage
//
//	c := latency.New(direct, viaEntry)
//	comparison, err := c.Measure(ctx, 64, 10*time.Second)
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
	// roundDuration is the time for which one kind of call is made before the other
	// kind.
	roundDuration = 250 * time.Millisecond
	// maxCallTime is the longest call that the histograms can hold, in nanoseconds.
	maxCallTime       = int64(time.Minute)
	significantDigits = 3
)

// Call makes one call for a worker and returns after its whole response.
type Call func(ctx context.Context, worker int) error

// Comparer measures and compares two kinds of calls.
type Comparer struct {
	direct   Call
	viaEntry Call
}

// New returns a comparer of direct calls and calls through an entry VM.
func New(direct, viaEntry Call) *Comparer {
	return &Comparer{direct: direct, viaEntry: viaEntry}
}

// Measure lets the workers call without pause for about the given time in total, and
// fails if a call fails.
func (c *Comparer) Measure(ctx context.Context, workers int, duration time.Duration) (Comparison, error) {
	direct, viaEntry := hdrhistogram.New(1, maxCallTime, significantDigits), hdrhistogram.New(1, maxCallTime, significantDigits)
	// The first round of each kind opens connections and is not counted.
	discarded := hdrhistogram.New(1, maxCallTime, significantDigits)
	if err := errors.Join(runRound(ctx, c.direct, workers, discarded), runRound(ctx, c.viaEntry, workers, discarded)); err != nil {
		return Comparison{}, err
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if err := runRound(ctx, c.direct, workers, direct); err != nil {
			return Comparison{}, fmt.Errorf("latency: direct call: %w", err)
		}
		if err := runRound(ctx, c.viaEntry, workers, viaEntry); err != nil {
			return Comparison{}, fmt.Errorf("latency: call through an entry VM: %w", err)
		}
	}
	return Comparison{Workers: workers, Direct: callTimes(direct), ViaEntry: callTimes(viaEntry)}, nil
}

// runRound lets all workers call for one round and adds the response times to times.
// It stops at the first error.
func runRound(ctx context.Context, call Call, workers int, times *hdrhistogram.Histogram) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := time.Now().Add(roundDuration)
	histograms := make([]*hdrhistogram.Histogram, workers)
	var group sync.WaitGroup
	for i := range workers {
		h := hdrhistogram.New(1, maxCallTime, significantDigits)
		histograms[i] = h
		group.Go(func() {
			for begin := time.Now(); begin.Before(end) && ctx.Err() == nil; begin = time.Now() {
				if err := call(ctx, i); err != nil {
					cancel(err)
					return
				}
				// The value is limited to the range of the histogram, so recording can't fail.
				_ = h.RecordValue(min(int64(time.Since(begin)), maxCallTime))
			}
		})
	}
	group.Wait()
	for _, h := range histograms {
		times.Merge(h)
	}
	return context.Cause(ctx)
}

func callTimes(h *hdrhistogram.Histogram) CallTimes {
	return CallTimes{
		Calls:  h.TotalCount(),
		Median: time.Duration(h.ValueAtQuantile(50)),
		P99:    time.Duration(h.ValueAtQuantile(99)),
	}
}
