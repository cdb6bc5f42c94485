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

// Guards against keys of an ended server that stay without an owner until its grants have expired although
// another instance has refused an order at its address, and against more orders to it.
func TestMisdirectedOrder(t *testing.T) {
	for _, draining := range []bool{false, true} {
		mustMoveAfterRefusal(t, draining)
	}
}

// mustMoveAfterRefusal checks that keys go to another server at once after a grant, or the release of a
// draining server, was refused.
func mustMoveAfterRefusal(t *testing.T, draining bool) {
	now := time.Unix(1000, 0)
	sim := &simulation{now: now, load: func(int) float64 { return 8.0 / keyspace.KeyCount }}
	holder, other := newServer(0, 1), newServer(1, 1)
	table := &ownership.Table{Service: "svc", Revision: 1, Assignments: []ownership.Assignment{{
		Range:   keyspace.Range{Last: keyspace.Last},
		Holders: []ownership.Server{{Instance: holder.Instance, Address: holder.Address.String()}},
	}}}
	c := coordinator.New("svc", 2, table, now, now)
	servers := []registry.Server{holder.Server}
	refusedAt, refused := time.Time{}, 0
	for range 100 {
		now = now.Add(step)
		c.SetServers(now, servers)
		for _, o := range c.Step(now, sim, true) {
			if o.Server.Instance != holder.Instance {
				must.Less(t, coordinator.HoldDuration/10, now.Sub(refusedAt))
				must.Eq(t, 1, refused)
				return
			}
			r := coordinator.Result{Number: o.Number}
			if len(servers) == 2 && o.Release == draining {
				r.Misdirected, r.Err = true, errors.New("misdirected")
				refusedAt, refused = now, refused+1
			}
			c.HandleResult(now, r)
		}
		if table, generation, ok := c.Table(); ok {
			c.MarkStored(now, generation, table.Revision+1)
		}
		if now.After(time.Unix(1001, 0)) {
			holder.Draining = draining
			servers = []registry.Server{holder.Server, other.Server}
		}
	}
	t.Fatal("the keys were not granted to the other server")
}

// Guards against a wait for a release by an instance of the service that has the holder's address but
// another ID, and therefore can't have accepted orders meant for the holder.
func TestOtherInstanceRegisteredAtAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	sim := &simulation{now: now, load: func(int) float64 { return 8.0 / keyspace.KeyCount }}
	lost, other := newServer(0, 1), newServer(0, 2)
	other.ID = "other"
	table := &ownership.Table{Service: "svc", Revision: 1, Assignments: []ownership.Assignment{{
		Range:   keyspace.Range{Last: keyspace.Last},
		Holders: []ownership.Server{{Instance: lost.Instance, Address: lost.Address.String()}},
	}}}
	c := coordinator.New("svc", 2, table, now, now.Add(time.Hour))
	c.SetServers(now, []registry.Server{other.Server})
	for range 20 {
		now = now.Add(step)
		orders := c.Step(now, sim, true)
		if table, generation, ok := c.Table(); ok {
			c.MarkStored(now, generation, table.Revision+1)
		}
		for _, o := range orders {
			must.Eq(t, other.Instance, o.Server.Instance)
			must.False(t, o.Release || o.FenceOnly)
			return
		}
	}
	t.Fatal("the keys were not granted to the other server")
}
