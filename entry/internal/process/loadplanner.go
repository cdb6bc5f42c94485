package process

import (
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/balance"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// minMeanLoad is the mean load per upstream, in slots, below which shards are balanced by
// number: so little load does not predict the load to come.
const minMeanLoad = 0.02

// loadPlanner balances shards by load, or by number while the mean load is below minMeanLoad.
type loadPlanner struct{}

// Plan implements controller.Planner.
func (loadPlanner) Plan(now time.Time, v controller.PlannerInput) []controller.PlannedMove {
	in := balance.Input{LastMoved: make(map[shard.Shard]time.Time)}
	total := 0.0
	for _, s := range v.Shares {
		u := balance.Upstream{Name: s.Upstream, Slots: max(1, s.Slots)}
		for _, n := range s.Shards {
			u.Shards = append(u.Shards, control.ShardLoad{Shard: n, Load: s.Loads[n]})
		}
		for _, n := range s.RecentlyMoved {
			u.Shards = append(u.Shards, control.ShardLoad{Shard: n, Load: s.Loads[n]})
			in.LastMoved[n] = now
		}
		for _, l := range u.Shards {
			total += l.Load
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	if total < minMeanLoad*float64(len(v.Shares)) {
		return controller.EvenPlanner{}.Plan(now, v)
	}
	var moves []controller.PlannedMove
	for _, m := range balance.Plan(now, in) {
		moves = append(moves, controller.PlannedMove{Shard: m.Shard, From: m.From, To: m.To})
	}
	return moves
}
