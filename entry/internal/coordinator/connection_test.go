package coordinator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/ownership"
)

// Guards against a fence that reaches the next life of a server on another connection than the one on which
// the server has accepted it, and against a renewal that waits because its connection has ended.
func TestFenceBoundToConnection(t *testing.T) {
	lost := errors.New("no response")
	for _, c := range []struct {
		name string
		// result is the result of a renewal on connection 7.
		result coordinator.Result
		// renewed is whether the next grant may have the same fence, and within when it must be due.
		renewed bool
		within  time.Duration
	}{
		{name: "accepted", result: coordinator.Result{Connection: 7}, renewed: true, within: time.Second},
		{name: "accepted on another connection", result: coordinator.Result{Connection: 8}, renewed: true, within: time.Second},
		{name: "accepted without a connection", result: coordinator.Result{}, within: time.Second},
		{name: "connection ended", result: coordinator.Result{ConnectionEnded: true, Err: lost}, within: step},
		{name: "no response", result: coordinator.Result{Err: lost}, within: time.Second},
		{name: "refused", result: coordinator.Result{Fenced: true, Err: lost}, within: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRenewal(t)
			first := r.next(t, time.Minute)
			must.Eq(t, 0, first.Connection)
			r.HandleResult(r.now, coordinator.Result{Number: first.Number, Connection: 7})
			second := r.next(t, time.Second)
			must.Eq(t, 7, second.Connection)
			must.Eq(t, first.Fence, second.Fence)
			c.result.Number = second.Number
			r.HandleResult(r.now, c.result)
			third := r.next(t, c.within)
			must.Eq(t, c.renewed, third.Fence == second.Fence)
			must.Eq(t, c.result.Connection, third.Connection)
			must.LessEq(t, third.Fence, second.Fence)
		})
	}
}

// renewal is a coordinator of a service with one server.
type renewal struct {
	*coordinator.Coordinator
	now    time.Time
	server *server
}

func newRenewal(t *testing.T) *renewal {
	t.Helper()
	r := &renewal{now: time.Unix(1000, 0), server: newServer(0, 1)}
	table := &ownership.Table{Service: "svc", Revision: 1, Assignments: []ownership.Assignment{{
		Range:   keyspace.Range{Last: keyspace.Last},
		Holders: []ownership.Server{{Instance: r.server.Instance, Address: r.server.Address.String()}},
	}}}
	r.Coordinator = coordinator.New("svc", 2, table, r.now, r.now)
	return r
}

// next returns the next order, which must come within the given time.
func (r *renewal) next(t *testing.T, within time.Duration) coordinator.Order {
	t.Helper()
	sim := &simulation{load: func(int) float64 { return 8.0 / keyspace.KeyCount }}
	for end := r.now.Add(within); !r.now.After(end); r.now = r.now.Add(step) {
		r.SetServers(r.now, []registry.Server{r.server.Server})
		orders := r.Step(r.now, sim, true)
		if table, generation, ok := r.Table(); ok {
			r.MarkStored(r.now, generation, table.Revision+1)
		}
		if len(orders) > 0 {
			must.SliceLen(t, 1, orders)
			return orders[0]
		}
	}
	t.Fatal("no order")
	return coordinator.Order{}
}
