package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
)

// Guards against slow but healthy requests being aborted as silent: an upload takes longer
// than the 300 ms after which a lookup is overdue.
func TestOverdueFollowsServiceTimeOfRank(t *testing.T) {
	var e overdueEstimator
	now := time.Unix(0, 0)
	deadline := now.Add(time.Minute)
	must.Eq(t, deadline, e.overdueAt(now, rank.Upload, deadline))
	for range meanSamples {
		e.add(rank.Upload, 400*time.Millisecond)
		e.add(rank.Lookup, 5*time.Millisecond)
	}
	must.Eq(t, now.Add(8*time.Second), e.overdueAt(now, rank.Upload, deadline))
	must.Eq(t, now.Add(300*time.Millisecond), e.overdueAt(now, rank.Lookup, deadline))
}
