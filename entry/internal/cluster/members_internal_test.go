package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// Guards against members that are listed in another order each time, so that every process chooses its
// allocators again after each report.
func TestMembersKeepOrder(t *testing.T) {
	n, now := newTestNode("a", newRestorableStore(), nil, 0), time.Now()
	lock := election.Lock{Term: 1, Holder: n.self, Settled: true}
	n.election.HandleStored(now, lock, 1)
	n.executor = newExecutor(n, lock, now, election.Member{})
	members := func() []election.Member {
		var r report.Response
		for i := range 78 {
			r = n.Report(now, report.Report{From: election.Member{Name: fmt.Sprint("edge-", i)}})
		}
		return r.Members
	}
	must.Len(t, 78, members())
	must.Eq(t, members(), members())
}
