package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/platform"
)

// fragileStore is a store that can't be reached after it has accepted the first lock of the second era.
type fragileStore struct {
	*restorableStore
	lostMu sync.Mutex
	lost   time.Time
}

// lostAt returns when the store was lost, or zero.
func (s *fragileStore) lostAt() time.Time {
	s.lostMu.Lock()
	defer s.lostMu.Unlock()
	return s.lost
}

func (s *fragileStore) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	stored, err := s.restorableStore.Put(ctx, kind, o)
	s.lostMu.Lock()
	defer s.lostMu.Unlock()
	if err == nil && kind == lockKind && revision.Revision(stored.Revision).Era() == 2 && s.lost.IsZero() {
		s.lost = time.Now()
		s.setDown(true)
	}
	return stored, err
}

// Guards against keys that lose their owner when a restored store is lost again before the coordinator
// has stored its tables in the new era.
func TestStoreLostAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, grants := &fragileStore{restorableStore: newRestorableStore()}, newRecordedGrants()
		n := newTestNode("n", store, grants, 1)
		defer run(t, n)()
		time.Sleep(10 * time.Second)
		before := n.CoordinatorTerm()
		store.setDown(true)
		time.Sleep(2 * time.Second)
		restored := time.Now()
		store.restore(restored.Add(-4 * time.Second))
		store.setDown(false)
		time.Sleep(7 * time.Second)
		must.Greater(t, before, n.CoordinatorTerm())
		must.Greater(t, 5*time.Second, time.Since(store.lostAt()))
		store.setDown(false)
		time.Sleep(5 * time.Second)
		last := restored
		for _, g := range grants.after(restored) {
			must.Less(t, coordinator.HoldDuration, g.at.Sub(last), must.Sprint("time without a grant"))
			must.GreaterEq(t, g.highest, g.fence)
			last = g.at
		}
		must.Less(t, coordinator.HoldDuration, time.Since(last))
		must.SliceEmpty(t, grants.hasOverlaps())
	})
}

// Guards against renewals in the name of an earlier era that go on for longer than the successor of a
// lost coordinator waits.
func TestRenewalsOfEarlierEraEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, grants := &fragileStore{restorableStore: newRestorableStore()}, newRecordedGrants()
		n := newTestNode("n", store, grants, 1)
		defer run(t, n)()
		time.Sleep(10 * time.Second)
		restored := time.Now()
		store.restore(restored.Add(-2 * time.Second))
		time.Sleep(20 * time.Second)
		must.False(t, store.lostAt().IsZero())
		must.SliceNotEmpty(t, grants.after(restored.Add(8*time.Second)))
		must.SliceEmpty(t, grants.after(restored.Add(coordinator.MaxOfflineRenewal)))
	})
}

// Guards against renewals in the name of an earlier era that end because another writer's entry, of a service
// that is not configured, has the address of the holder.
func TestRenewalsOfEarlierEraIgnoreUnknownService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grants := newRecordedGrants()
		n := newTestNode("n", newRestorableStore(), grants, 1)
		lock := election.Lock{Term: 2, Holder: n.self, Settled: true}
		former := newExecutor(n, lock, time.Now())
		table := &ownership.Table{Service: shardedService, Revision: 1, Assignments: []ownership.Assignment{{
			Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{backend(0)},
		}}}
		former.services[shardedService] = &serviceState{
			coordinator: coordinator.New(shardedService, 2, table, time.Now(), time.Now()),
			demand:      demand.NewService(time.Now(), n.limits), probing: make(map[registry.Instance]bool),
		}
		n.executor = newExecutor(n, lock, time.Now())
		n.executor.previous, n.executor.previousUntil = former, time.Now().Add(time.Minute)
		renew := func() {
			var group sync.WaitGroup
			for range 20 {
				time.Sleep(tickInterval)
				n.mu.Lock()
				if table, generation, ok := former.services[shardedService].coordinator.Table(); ok {
					former.services[shardedService].coordinator.MarkStored(time.Now(), generation, table.Revision+1)
				}
				n.executor.renewPrevious(t.Context(), &group, time.Now(), n.view.Configuration())
				n.mu.Unlock()
				group.Wait()
			}
		}
		renew()
		must.SliceNotEmpty(t, grants.grants)
		n.view.SetServers(time.Now(), []registry.Server{{Instance: registry.Instance{ID: "x", Incarnation: 9}, Service: "unknown", Address: backendAddress(0)}})
		written := time.Now()
		renew()
		must.SliceNotEmpty(t, grants.after(written))
	})
}
