package cluster

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// connectedPeers is a network in which all processes reach each other.
type connectedPeers struct {
	noPeers
	mu    sync.Mutex
	nodes map[netip.AddrPort]*Node
}

func (p *connectedPeers) node(to netip.AddrPort) *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[to]
}

// connect gives a process an address by which the others reach it. It must be called before the process runs.
func (p *connectedPeers) connect(n *Node, i int) {
	n.self.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 1)
	n.election, n.peers, n.members = election.New(n.self, time.Now(), 0), p, []election.Member{n.self}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[n.self.Address] = n
}

func (p *connectedPeers) Report(_ context.Context, to netip.AddrPort, r report.Report) (report.Response, error) {
	return p.node(to).Report(time.Now(), r), nil
}

func (p *connectedPeers) StepDown(_ context.Context, to netip.AddrPort, r report.StepDown) (report.StepDownResponse, error) {
	return p.node(to).StepDown(time.Now(), r), nil
}

func (p *connectedPeers) Follow(ctx context.Context, to netip.AddrPort, r report.FollowRequest, _ time.Duration, handle func(report.Update) error) error {
	return p.node(to).Follow(ctx, r, handle)
}

// rejectingStore is a store that may reject the calls of one process while it serves others.
type rejectingStore struct {
	*restorableStore
	rejecting atomic.Bool
}

func (s *rejectingStore) reject() { s.rejecting.Store(true) }

func (s *rejectingStore) GetStale(ctx context.Context, kind, name string) (platform.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *rejectingStore) ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	return s.List(ctx, kind)
}

func (s *rejectingStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if s.rejecting.Load() {
		return platform.Object{}, errUnreachable
	}
	return s.restorableStore.Get(ctx, kind, name)
}

func (s *rejectingStore) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	if s.rejecting.Load() {
		return nil, 0, errUnreachable
	}
	return s.restorableStore.List(ctx, kind)
}

func (s *rejectingStore) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	if s.rejecting.Load() {
		return platform.Object{}, errUnreachable
	}
	return s.restorableStore.Put(ctx, kind, o)
}

// Guards against processes that the store rejects and that keep to the former coordinator after another
// one has taken over.
func TestRejectedProcessFollowsNewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newRestorableStore()
		peers := &connectedPeers{nodes: make(map[netip.AddrPort]*Node)}
		var nodes []*Node
		for i, store := range []Store{&rejectingStore{restorableStore: shared}, shared, &rejectingStore{restorableStore: shared}} {
			n := newTestNode(string(rune('a'+i)), store, newRecordedGrants(), 2)
			peers.connect(n, i)
			nodes = append(nodes, n)
		}
		defer run(t, nodes[0])()
		time.Sleep(time.Second)
		must.Greater(t, 0, nodes[0].CoordinatorTerm())
		defer run(t, nodes[1])()
		defer run(t, nodes[2])()
		time.Sleep(3 * time.Second)
		for _, n := range []*Node{nodes[0], nodes[2]} {
			n.store.(*rejectingStore).reject()
		}
		time.Sleep(10 * time.Second)
		must.Greater(t, 1, nodes[1].CoordinatorTerm())
		nodes[2].mu.Lock()
		defer nodes[2].mu.Unlock()
		holder, _ := nodes[2].holder()
		must.Eq(t, "b", holder.Name)
		must.True(t, time.Now().Before(nodes[2].fallBackAt), must.Sprint("updates of the new coordinator"))
	})
}

// Guards against a process that keeps to a coordinator that was announced after the lock names a later one.
func TestLaterLockOverridesAnnouncement(t *testing.T) {
	n, now := newTestNode("a", newRestorableStore(), nil, 0), time.Now()
	announced, later := election.Member{Name: "b"}, election.Member{Name: "c"}
	n.StepDown(now, report.StepDown{Term: 5, Successor: announced})
	holder, _ := n.holder()
	must.Eq(t, announced, holder)
	n.StepDown(now, report.StepDown{Term: 4, Successor: later})
	holder, _ = n.holder()
	must.Eq(t, announced, holder)
	n.election.ObserveLock(now, election.Lock{Term: 6, Holder: later}, 9)
	holder, _ = n.holder()
	must.Eq(t, later, holder)
}
