// Package report counts how the operations of each rank ended and how long they took.
//
// # Usage
//
//	r := report.New(trace.Objectives)
//	r.Add(result)
//	r.WriteTable(os.Stdout)
package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trace"
)

const (
	// maxResponseTime is the longest response time that the histograms can hold.
	maxResponseTime = 10 * time.Minute
	// significantDigits is the number of significant digits of the histograms.
	significantDigits = 3
)

// Report collects results. It is safe for concurrent use.
type Report struct {
	objectives     [rank.Count]trace.Objective
	mu             sync.Mutex
	times          [rank.Count]*hdrhistogram.Histogram
	counts         [rank.Count]map[operation.Class]int
	wrongResponses int
	attempts       int
}

// New returns an empty report.
func New(objectives [rank.Count]trace.Objective) *Report {
	r := &Report{objectives: objectives}
	for i := range rank.Count {
		r.times[i] = hdrhistogram.New(1, maxResponseTime.Microseconds(), significantDigits)
		r.counts[i] = map[operation.Class]int{}
	}
	return r
}

// Add counts a result. It records the response time only if the operation ran.
func (r *Report) Add(result operation.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := result.Operation.Rank
	c := result.Class()
	r.counts[k][c]++
	r.attempts += len(result.Attempts)
	for _, a := range result.Attempts {
		if a.AnswerError != "" {
			r.wrongResponses++
		}
	}
	if c == operation.Completed || c == operation.Late {
		// The value is limited to the range of the histogram, so recording can't fail.
		_ = r.times[k].RecordValue(min(max(result.Elapsed().Microseconds(), 1), maxResponseTime.Microseconds()))
	}
}

// RankSummary returns the statistics of one rank.
func (r *Report) RankSummary(k rank.Rank) RankSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RankSummary{Rank: k, Counts: map[operation.Class]int{}, Objective: r.objectives[k]}
	for c, n := range r.counts[k] {
		s.Counts[c] = n
		s.Total += n
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.times[k].ValueAtQuantile(q)) * time.Microsecond
	}
	s.Median, s.P99, s.P999 = quantile(50), quantile(99), quantile(99.9)
	s.Max = time.Duration(r.times[k].Max()) * time.Microsecond
	return s
}

// WrongResponses returns the number of responses that were incomplete or did not belong to
// their request.
func (r *Report) WrongResponses() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrongResponses
}

// Attempts returns the number of attempts at all operations.
func (r *Report) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}
