package faults

import (
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/report"
)

// count takes over how the calls of the background load ended.
func (r *Result) count(calls *report.Report) {
	for i := range rank.Count {
		s := calls.Service(rank.Rank(i))
		r.Calls += s.Total
		r.Failed += s.Failed()
		r.Uncertain += s.Counts[operation.Uncertain]
	}
}
