package report

import (
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trace"
)

// Service is the service that one rank received.
type Service struct {
	Rank        rank.Rank
	Total       int
	Counts      map[operation.Class]int
	Expectation trace.Expectation
	Median      time.Duration
	P99         time.Duration
	P999        time.Duration
	Max         time.Duration
}

// Share returns the percentage of operations that ended in target.
func (s *Service) Share() float64 {
	if s.Total == 0 {
		return 100
	}
	return 100 * float64(s.Counts[operation.InTarget]) / float64(s.Total)
}

// Failed returns the number of operations that did not complete.
func (s *Service) Failed() int {
	return s.Total - s.Counts[operation.InTarget] - s.Counts[operation.Late]
}

// Met reports whether the rank received the expected service.
func (s *Service) Met() bool {
	if s.Expectation.Lossless {
		return s.Failed() == 0
	}
	return s.Share() >= s.Expectation.Share
}
