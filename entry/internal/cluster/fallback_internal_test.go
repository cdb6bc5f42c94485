package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/platform"
)

// countingStore counts the calls in windows of a tenth of a second.
type countingStore struct {
	*restorableStore
	mu    sync.Mutex
	calls map[time.Time]int
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[time.Now().Truncate(100*time.Millisecond)]++
}

func (s *countingStore) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
}

// counted returns the most calls in a window, and all of them.
func (s *countingStore) counted() (most, sum int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.calls {
		most, sum = max(most, n), sum+n
	}
	return most, sum
}

func (s *countingStore) GetStale(ctx context.Context, kind, name string) (platform.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *countingStore) ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	return s.List(ctx, kind)
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	s.count()
	return s.restorableStore.Get(ctx, kind, name)
}

func (s *countingStore) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	s.count()
	return s.restorableStore.List(ctx, kind)
}

func (s *countingStore) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	s.count()
	return s.restorableStore.Put(ctx, kind, o)
}

// Guards against a fleet that reads the store all at once when its coordinator is lost.
func TestLostCoordinatorSparesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes, large = 120, 6
		store := &countingStore{restorableStore: newRestorableStore(), calls: make(map[time.Time]int)}
		peers := &connectedPeers{nodes: make(map[netip.AddrPort]*Node)}
		var nodes []*Node
		var ends []context.CancelFunc
		for i := range processes {
			n := newTestNode(fmt.Sprint("edge-", i), store, newRecordedGrants(), 1)
			peers.connect(n, i)
			n.cores, n.prober = 0.16, fullReach{}
			if i < large {
				n.cores = 0.8
			}
			n.updateTakeoverDelay()
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			ends = append(ends, run(t, n))
		}
		time.Sleep(5 * time.Second)
		lost := -1
		for i, n := range nodes {
			if n.CoordinatorTerm() != 0 {
				lost = i
			}
		}
		must.Between(t, 0, lost, large-1)
		peers.mu.Lock()
		peers.nodes[nodes[lost].self.Address] = newTestNode("nobody", store, newRecordedGrants(), 1)
		peers.mu.Unlock()
		store.reset()
		ends[lost]()
		nodes[lost].mu.Lock()
		nodes[lost].election = election.New(nodes[lost].self, time.Now(), 0)
		nodes[lost].mu.Unlock()
		time.Sleep(5 * time.Second)
		most, sum := store.counted()
		t.Logf("calls in 5 s: %d, in the worst tenth of a second: %d", sum, most)
		// Each process reads the lock and the tables once; a large VM, which may take over, reads the lock more often.
		must.LessEq(t, 2*int(100*time.Millisecond/fallBackSpacing), most)
		// The successor writes the lock twice a second, and reads and writes the table.
		must.LessEq(t, 2*processes+8*large+2*5+4, sum)
		successors := 0
		for i, n := range nodes {
			if n.CoordinatorTerm() != 0 {
				must.Less(t, large, i)
				successors++
			}
			if i != lost {
				defer ends[i]()
			}
		}
		must.Eq(t, 1, successors)
	})
}
