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
	n.executor = newExecutor(n, lock, now)
	members := func() []election.Member {
		var r report.Response
		for i := range 78 {
			r = n.Report(now, report.Report{From: election.Member{Name: fmt.Sprint("edge-", i)}})
		}
		return r.Roster.Members
	}
	must.Len(t, 78, members())
	must.Eq(t, members(), members())
}

// Guards against members that are sent again with each response, to hundreds of processes twice a second, and
// against a roster that a takeover empties.
func TestMembersAreSentOnce(t *testing.T) {
	n, now := newTestNode("edge-0", newRestorableStore(), nil, 0), time.Now()
	lead := func(n *Node, term uint64) {
		lock := election.Lock{Term: term, Holder: n.self, Settled: true}
		n.election.HandleStored(now, lock, term)
		n.executor = newExecutor(n, lock, now)
	}
	lead(n, 1)
	versions := make([]uint64, 295)
	send := func(n *Node, i int) *report.Roster {
		r := n.Report(now, report.Report{From: election.Member{Name: fmt.Sprint("edge-", i)}, RosterVersion: versions[i]})
		if r.Roster != nil {
			versions[i] = r.Roster.Version
		}
		return r.Roster
	}
	for range 2 {
		for i := range versions {
			send(n, i)
		}
	}
	for i := range versions {
		must.Nil(t, send(n, i))
	}
	successor := newTestNode("edge-1", newRestorableStore(), nil, 0)
	successor.members = n.members
	lead(successor, 2)
	successor.membership.expect(now, successor.members, n.largestCores)
	must.Nil(t, send(successor, 1))
	must.Len(t, 295, successor.Members())
	// Those that report to the successor no longer are dropped.
	now = now.Add(memberLifetime + time.Second)
	must.Len(t, 1, send(successor, 1).Members)
}
