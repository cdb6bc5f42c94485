package cluster

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
	"bramleystand.org/entry/internal/ownership"
)

// recordedRelays is another process that executes all orders.
type recordedRelays struct {
	noReach
	orders []orderrelay.Order
}

func (r *recordedRelays) Query(context.Context, netip.AddrPort, orderrelay.Query) (orderrelay.Answer, error) {
	return orderrelay.Answer{Clock: orderrelay.Clock{Incarnation: 1, SinceBoot: time.Hour}}, nil
}

func (r *recordedRelays) Send(_ context.Context, _ netip.AddrPort, o orderrelay.Order) (orderrelay.Report, error) {
	r.orders = append(r.orders, o)
	return orderrelay.Report{Outcome: orderrelay.Executed, Clock: orderrelay.Clock{Incarnation: 1, SinceBoot: time.Hour}}, nil
}

// Guards against a renewal through another process that carries a fence which another life of the server may
// not have accepted.
func TestRelayedRenewalHasNewFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays, grants := &recordedRelays{}, newRecordedGrants()
		n := newTestNode("n", newRestorableStore(), grants, 1)
		n.relays = relays
		lock := election.Lock{Term: 2, Holder: n.self, Settled: true}
		n.election.HandleStored(time.Now(), lock, 1)
		s := newExecutor(n, lock, time.Now())
		n.executor = s
		table := &ownership.Table{Service: shardedService, Revision: 1, Assignments: []ownership.Assignment{{
			Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{backend(0)},
		}}}
		state := &serviceState{coordinator: coordinator.New(shardedService, 2, table, time.Now(), time.Now()), demand: demand.NewService(time.Now(), n.limits)}
		// executeNext executes the next order and returns it.
		executeNext := func() coordinator.Order {
			for range 30 {
				time.Sleep(tickInterval)
				state.coordinator.SetServers(time.Now(), n.view.Servers().Registered())
				orders := state.coordinator.Step(time.Now(), state.demand, true)
				if table, generation, ok := state.coordinator.Table(); ok {
					state.coordinator.MarkStored(time.Now(), generation, table.Revision+1)
				}
				if len(orders) > 0 {
					s.execute(t.Context(), state, orders[0])
					return orders[0]
				}
			}
			t.Fatal("no order")
			return coordinator.Order{}
		}
		first, renewal := executeNext(), executeNext()
		must.Eq(t, first.Fence, renewal.Fence)
		must.Eq(t, 1, renewal.Connection)
		must.SliceLen(t, 2, grants.grants)
		s.contact.recordFailure(time.Now(), backend(0).Instance)
		must.True(t, s.contact.setRelay(backend(0).Instance, election.Member{Name: "other"}))
		refused := executeNext()
		must.Eq(t, 1, refused.Connection)
		must.SliceEmpty(t, relays.orders)
		highest := refused.Fence
		for i := range 3 {
			o := executeNext()
			must.Eq(t, 0, o.Connection)
			must.Less(t, o.Fence, highest)
			highest = o.Fence
			must.SliceLen(t, i+1, relays.orders)
			must.Eq(t, uint64(o.Fence), relays.orders[i].Fence)
		}
		must.SliceLen(t, 2, grants.grants)
	})
}
