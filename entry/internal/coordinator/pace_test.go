package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
)

// Guards against a thousand orders at once, and against ranges that never get their turn.
func TestOrdersAreSpread(t *testing.T) {
	const count = 999
	now := time.Unix(1000, 0)
	c := coordinator.New("s", 1, nil, now, now)
	var servers []registry.Server
	for i := range count {
		servers = append(servers, registry.Server{Instance: registry.Instance{ID: fmt.Sprint("s", i), Incarnation: 1}, Service: "s", Address: address(i), Slots: 4})
	}
	c.SetServers(now, servers)
	granted := make(map[string]int)
	begin := now
	for now.Sub(begin) < 6*time.Second {
		now = now.Add(10 * time.Millisecond)
		orders := c.Step(now, &evenDemand{}, true)
		must.LessEq(t, coordinator.MaxStepOrders, len(orders))
		for _, o := range orders {
			granted[o.Server.ID]++
			c.HandleResult(now, coordinator.Result{Number: o.Number})
		}
		if table, generation, ok := c.Table(); ok {
			c.MarkStored(now, generation, table.Revision+1)
		}
	}
	must.MapLen(t, count, granted)
	for id, n := range granted {
		must.Between(t, 3, n, 9, must.Sprint(id))
	}
}
