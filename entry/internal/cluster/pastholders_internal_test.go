package cluster

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// stoppablePeers is a network of processes of which some can be asked to stop.
type stoppablePeers struct {
	noPeers
	mu    sync.Mutex
	nodes map[netip.AddrPort]*Node
}

func (p *stoppablePeers) connect(n *Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[n.self.Address] = n
}

func (p *stoppablePeers) StepDown(_ context.Context, to netip.AddrPort, request report.StepDown) (report.StepDownResponse, error) {
	p.mu.Lock()
	n := p.nodes[to]
	p.mu.Unlock()
	if n == nil {
		return report.StepDownResponse{}, errUnreachable
	}
	return n.StepDown(time.Now(), request), nil
}

// unansweredTakeover accepts the first write with which its process takes the lock, but the response is lost.
type unansweredTakeover struct {
	*rejectingStore
	// taken is called before the response is lost.
	taken func()
	once  sync.Once
}

func (s *unansweredTakeover) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	stored, err := s.rejectingStore.Put(ctx, kind, o)
	if err == nil && kind == lockKind {
		s.once.Do(func() {
			s.taken()
			err = errUnreachable
		})
	}
	return stored, err
}

// takeovers is a cluster whose first coordinator is cut off and renews the grants of a server that the others
// don't reach.
type takeovers struct {
	t      *testing.T
	shared *restorableStore
	grants *recordedGrants
	peers  *stoppablePeers
}

// newNode returns a process that reaches the second server only.
func (c *takeovers) newNode(name string, store Store) *Node {
	n := newTestNode(name, store, lossyGrants{recordedGrants: c.grants, lost: backendAddress(0)}, 2)
	c.adopt(n)
	c.peers.connect(n)
	return n
}

// adopt gives a process an address and the network of the cluster.
func (c *takeovers) adopt(n *Node) {
	n.self.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n.self.Name[0]}), 80)
	n.election, n.peers = election.New(n.self, time.Now(), 0), c.peers
}

func (c *takeovers) store() *rejectingStore { return &rejectingStore{restorableStore: c.shared} }

// start runs a process until the test ends, or until the returned function is called.
func (c *takeovers) start(n *Node) context.CancelFunc {
	stop := sync.OnceFunc(run(c.t, n))
	c.t.Cleanup(stop)
	return stop
}

// awaitRole waits until a process is the coordinator.
func (c *takeovers) awaitRole(n *Node) {
	for start := time.Now(); n.CoordinatorTerm() == 0; time.Sleep(tickInterval) {
		must.Less(c.t, 5*time.Second, time.Since(start), must.Sprint(n.self.Name, " has the role"))
	}
}

// Guards against keys with two owners because a coordinator does not know of an earlier one that is cut off and
// renews on: its predecessor, which knew, is lost in the same seconds.
func TestSuccessorLostWhileFormerRenews(t *testing.T) {
	for name, lose := range map[string]func(c *takeovers){
		"stopped as planned": func(c *takeovers) {
			second := c.newNode("b", c.store())
			c.start(second)
			c.awaitRole(second)
			c.start(c.newNode("c", c.store()))
			time.Sleep(500 * time.Millisecond)
			must.True(c.t, second.Resign(c.t.Context()))
		},
		"two stopped as planned": func(c *takeovers) {
			for _, name := range []string{"b", "c"} {
				n := c.newNode(name, c.store())
				c.start(n)
				c.awaitRole(n)
				time.Sleep(500 * time.Millisecond)
				must.True(c.t, n.Resign(c.t.Context()))
			}
			c.start(c.newNode("d", c.store()))
		},
		"killed and started again": func(c *takeovers) {
			second := c.newNode("b", c.store())
			stop := c.start(second)
			c.awaitRole(second)
			stop()
			c.newNode("b", c.store())
			c.start(c.newNode("c", c.store()))
		},
		"killed as the lock is written": func(c *takeovers) {
			store := &unansweredTakeover{rejectingStore: c.store()}
			store.taken = store.reject
			stop := c.start(c.newNode("b", store))
			time.Sleep(3 * time.Second)
			stop()
			c.newNode("b", c.store())
			c.start(c.newNode("c", c.store()))
		},
		"rejected by the store": func(c *takeovers) {
			store := c.store()
			second := c.newNode("b", store)
			c.start(second)
			c.awaitRole(second)
			store.reject()
			c.start(c.newNode("c", c.store()))
		},
	} {
		t.Run(name, func(t *testing.T) { testFormerRenews(t, lose) })
	}
}

// Guards against keys with two owners because a coordinator takes itself, or an earlier run of itself, for the only
// earlier one: the response to its write of the lock was lost, or it was started again.
func TestLockNamesSameProcess(t *testing.T) {
	for name, lose := range map[string]func(c *takeovers){
		"response lost": func(c *takeovers) {
			c.start(c.newNode("b", &unansweredTakeover{rejectingStore: c.store(), taken: func() {}}))
		},
		"started again": func(c *takeovers) {
			second := c.newNode("b", c.store())
			stop := c.start(second)
			c.awaitRole(second)
			stop()
			c.start(c.newNode("b", c.store()))
		},
		"started again as the lock is written": func(c *takeovers) {
			store := &unansweredTakeover{rejectingStore: c.store()}
			store.taken = store.reject
			stop := c.start(c.newNode("b", store))
			time.Sleep(3 * time.Second)
			stop()
			c.start(c.newNode("b", c.store()))
		},
	} {
		t.Run(name, func(t *testing.T) { testFormerRenews(t, lose) })
	}
}

// testFormerRenews cuts off the first coordinator, loses its successors, and checks the owners of the keys.
func testFormerRenews(t *testing.T, lose func(c *takeovers)) {
	synctest.Test(t, func(t *testing.T) {
		c := &takeovers{t: t, shared: newRestorableStore(), grants: newRecordedGrants(), peers: &stoppablePeers{nodes: make(map[netip.AddrPort]*Node)}}
		store := c.store()
		first := newTestNode("a", store, c.grants, 1)
		c.adopt(first)
		c.start(first)
		time.Sleep(5 * time.Second)
		must.Positive(t, first.CoordinatorTerm())
		store.reject()
		cutOff := time.Now()
		lose(c)
		time.Sleep(time.Until(cutOff.Add(25 * time.Second)))
		must.SliceEmpty(t, c.grants.hasOverlaps())
		must.SliceNotEmpty(t, c.grants.after(cutOff.Add(coordinator.MaxOfflineRenewal+2*coordinator.HoldDuration)), must.Sprint("the keys go to another server in the end"))
	})
}
