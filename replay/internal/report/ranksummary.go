package report

import (
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trace"
)

// RankSummary holds the statistics of the operations of one rank. Median, P99, P999 and
// Max are response times of operations that ran.
type RankSummary struct {
	Rank      rank.Rank
	Total     int
	Counts    map[operation.Class]int
	Objective trace.Objective
	Median    time.Duration
	P99       time.Duration
	P999      time.Duration
	Max       time.Duration
}

// Share returns the percentage of operations that completed within their target time.
func (s *RankSummary) Share() float64 {
	if s.Total == 0 {
		return 100
	}
	return 100 * float64(s.Counts[operation.Completed]) / float64(s.Total)
}

// Failed returns the number of operations that neither completed nor were late.
func (s *RankSummary) Failed() int {
	return s.Total - s.Counts[operation.Completed] - s.Counts[operation.Late]
}

// Met reports whether the objective of the rank was met.
func (s *RankSummary) Met() bool {
	if s.Objective.Lossless {
		return s.Failed() == 0
	}
	return s.Share() >= s.Objective.Share
}
