package faults

import (
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/report"
)

// countCalls adds up the outcomes of the background load over all ranks.
func (r *Result) countCalls(calls *report.Report) {
	for i := range rank.Count {
		s := calls.RankSummary(rank.Rank(i))
		r.Calls += s.Total
		r.Failed += s.Failed()
		r.UnknownOutcome += s.Counts[operation.UnknownOutcome]
	}
}
