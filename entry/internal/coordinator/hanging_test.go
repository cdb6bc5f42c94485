package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/ownership"
)

// Guards against keys that stay with a server which accepts connections and answers no order: each grant
// to it keeps them from other servers for as long as a grant lasts.
func TestKeysLeaveHangingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	var servers []registry.Server
	table := &ownership.Table{Service: "s", Revision: 1, Term: 1, Generation: 1}
	const rangesOfServer, count = 3, 8
	for i := range count {
		servers = append(servers, registry.Server{Instance: registry.Instance{ID: string(rune('a' + i)), Incarnation: 1}, Service: "s", Address: address(i), Slots: 4})
	}
	const width = keyspace.KeyCount / (count * rangesOfServer)
	for i := range count * rangesOfServer {
		s := servers[i%count]
		a := ownership.Assignment{Range: keyspace.Range{First: keyspace.Key(i * width), Last: keyspace.Key((i+1)*width - 1)}}
		if i == count*rangesOfServer-1 {
			a.Last = keyspace.Last
		}
		a.Holders = []ownership.Server{{Instance: s.Instance, Address: s.Address.String()}}
		table.Assignments = append(table.Assignments, a)
	}
	c := coordinator.New("s", 2, table, now, now)
	c.SetServers(now, servers)
	hanging, begin := servers[0].Instance, now.Add(2*time.Second)
	type answer struct {
		at     time.Time
		result coordinator.Result
	}
	var answers []answer
	orders, freed := 0, time.Time{}
	for now.Before(begin.Add(20 * time.Second)) {
		now = now.Add(5 * time.Millisecond)
		answers = slices.DeleteFunc(answers, func(a answer) bool {
			if a.at.After(now) {
				return false
			}
			c.HandleResult(now, a.result)
			return true
		})
		for _, s := range c.SilentServers(now) {
			c.MarkReachable(now, s.Instance)
		}
		for _, o := range c.Step(now, &evenDemand{}, true) {
			a := answer{now.Add(time.Millisecond), coordinator.Result{Number: o.Number}}
			if o.Server.Instance == hanging && now.After(begin) {
				a = answer{now.Add(400 * time.Millisecond), coordinator.Result{Number: o.Number, Err: eris.New("no answer")}}
				if now.After(begin.Add(2 * time.Second)) {
					orders++
				}
			}
			answers = append(answers, a)
		}
		if changed, generation, ok := c.Table(); ok {
			table = changed
			c.MarkStored(now, generation, table.Revision+1)
		}
		owned := slices.ContainsFunc(table.Assignments, func(a ownership.Assignment) bool {
			return slices.ContainsFunc(a.Holders, func(h ownership.Server) bool { return h.Instance == hanging })
		})
		if freed.IsZero() && now.After(begin) && !owned {
			freed = now
		}
	}
	must.False(t, freed.IsZero(), must.Sprint("the keys must leave the server"))
	// Silence is known after at most two unanswered orders, 1.3 s with the pause between them; the last of
	// them lasts for 3.21 s; the server is tried with one range before that ends.
	must.LessEq(t, 8*time.Second, freed.Sub(begin))
	must.LessEq(t, 1+int(20*time.Second/(4*time.Second)), orders, must.Sprint("orders to a server that answers none"))
}
