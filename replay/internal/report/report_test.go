package report_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trace"
)

func result(k rank.Rank, elapsed time.Duration, attempts ...operation.Attempt) operation.Result {
	start := time.Unix(100, 0)
	return operation.Result{
		Operation: operation.Operation{Rank: k, DueAt: start, Target: time.Second},
		Attempts:  attempts, Ended: start.Add(elapsed),
	}
}

// Guards against failed operations that count as completed or in a less severe class,
// and against lossless ranks whose failures go unnoticed.
func TestClasses(t *testing.T) {
	ran := operation.Attempt{Answered: true, Outcome: outcome.Ran}
	notRun := operation.Attempt{Answered: true, Outcome: outcome.NotRun}
	unknown := operation.Attempt{Answered: true, Outcome: outcome.Unknown}
	noResponse := operation.Attempt{Outcome: outcome.Unknown}
	r := report.New([rank.Count]trace.Objective{{Share: 50}, {Share: 20}, {Lossless: true}})
	for _, x := range []operation.Result{
		result(rank.Lookup, time.Millisecond, ran),
		result(rank.Lookup, 2*time.Second, notRun, ran),
		result(rank.Lookup, time.Second, notRun, notRun),
		result(rank.Lookup, time.Second, unknown, notRun),
		result(rank.Lookup, time.Second, noResponse, noResponse),
		result(rank.Upload, time.Second, notRun),
	} {
		r.Add(x)
	}
	s := r.RankSummary(rank.Lookup)
	for _, c := range operation.Classes {
		must.Eq(t, 1, s.Counts[c], must.Sprint(c))
	}
	must.Eq(t, 20, s.Share())
	must.Eq(t, 3, s.Failed())
	must.True(t, s.Met())
	uploads := r.RankSummary(rank.Upload)
	must.False(t, uploads.Met())
	must.NoError(t, r.WriteTable(new(bytes.Buffer)))
	must.NoError(t, r.WriteJSON(new(bytes.Buffer)))
}
