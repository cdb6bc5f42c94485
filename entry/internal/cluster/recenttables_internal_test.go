package cluster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// followOnce returns the tables that a coordinator sends first to a process.
func followOnce(t *testing.T, n *Node, r report.FollowRequest) []report.Object {
	var out []report.Object
	err := n.Follow(t.Context(), r, func(u report.Update) error {
		out = u.Objects
		return errNotCoordinator
	})
	must.ErrorIs(t, err, errNotCoordinator)
	return out
}

// Guards against hundreds of followers that get the whole table each time they connect: it fills the link,
// later updates time out, and all connect again.
func TestReconnectingFollowerGetsDifference(t *testing.T) {
	store, now := newRestorableStore(), time.Now()
	lead := func(n *Node, term uint64) *Node {
		n.election.HandleStored(now, election.Lock{Term: term, Holder: n.self, Settled: true}, term)
		return n
	}
	coordinator, follower := lead(newTestNode("c", store, nil, 0), 1), newTestNode("f", store, nil, 0)
	first := largeTable(1)
	coordinator.replica.UpdateTable(first)
	whole := followOnce(t, coordinator, follower.followRequest())
	must.Len(t, 1, whole)
	must.Less(t, 25_000, len(whole[0].Data))
	must.NoError(t, follower.applyObjects(now, whole))
	must.Eq(t, first, follower.view.Table("s"))
	must.SliceEmpty(t, followOnce(t, coordinator, follower.followRequest()))

	second := largeTable(2)
	second.Generation, second.Assignments[7].Unconfirmed = 1, true
	behind := follower.followRequest()
	coordinator.replica.UpdateTable(second)
	change := followOnce(t, coordinator, behind)
	must.Less(t, 500, len(change[0].Data))
	must.NoError(t, follower.applyObjects(now, change))
	must.Eq(t, second, follower.view.Table("s"))

	// The follower takes over, and a process that is behind gets the difference from it too.
	must.Less(t, 500, len(followOnce(t, lead(follower, 2), behind)[0].Data))
	// A process with an unknown table, or one that does not fit, gets the whole one.
	unknown := report.FollowRequest{Tables: []report.TableVersion{{Service: "s", Revision: 77}}}
	must.Eq(t, 0, followOnce(t, coordinator, unknown)[0].BaseRevision)
	must.Error(t, follower.applyObjects(now, []report.Object{{Kind: "bramleystand-tables", Name: "s", Revision: 9, BaseRevision: 8}}))
	must.SliceEmpty(t, follower.followRequest().Tables)
}
