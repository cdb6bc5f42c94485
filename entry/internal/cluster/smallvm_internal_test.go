package cluster

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
)

// fullReach is a prober that reaches all servers.
type fullReach struct{}

func (fullReach) Reached(_ context.Context, servers []netip.AddrPort) []bool {
	return slices.Repeat([]bool{true}, len(servers))
}

// Guards against a coordinator on a small VM that keeps the role, with which it does not keep up, after a
// large VM has joined.
func TestSmallCoordinatorHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newRestorableStore(), &connectedPeers{nodes: make(map[netip.AddrPort]*Node)}
		start := func(name string, cores float64) *Node {
			n := newTestNode(name, store, newRecordedGrants(), 2)
			n.self.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, name[0]}), 1)
			n.election, n.cores, n.peers, n.prober = election.New(n.self, time.Now(), 0), cores, peers, fullReach{}
			n.updateTakeoverDelay()
			peers.mu.Lock()
			defer peers.mu.Unlock()
			peers.nodes[n.self.Address] = n
			return n
		}
		small := start("a", 0.16)
		defer run(t, small)()
		time.Sleep(2 * time.Second)
		must.Greater(t, 0, small.CoordinatorTerm())
		equal := start("b", 0.16)
		defer run(t, equal)()
		time.Sleep(10 * time.Second)
		must.Greater(t, 0, small.CoordinatorTerm(), must.Sprint("there is no larger VM"))
		large := start("c", 0.8)
		defer run(t, large)()
		time.Sleep(6 * time.Second)
		must.Greater(t, 0, large.CoordinatorTerm())
		term := large.CoordinatorTerm()
		time.Sleep(30 * time.Second)
		must.Eq(t, term, large.CoordinatorTerm(), must.Sprint("the large VM keeps the role"))
	})
}
