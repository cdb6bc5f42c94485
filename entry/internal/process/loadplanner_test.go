package process

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/controller"
)

// uniformUpstream returns an upstream with count shards of equal load, numbered from first.
func uniformUpstream(name string, first, count int, load float64) controller.UpstreamShards {
	s := controller.UpstreamShards{Upstream: name, Slots: 4, Loads: make(map[shard.Shard]float64)}
	for i := range count {
		n := shard.Shard(first + i)
		s.Shards = append(s.Shards, n)
		s.Loads[n] = load
	}
	return s
}

// Guards against an overloaded upstream keeping its shards because all upstreams have the
// same number of shards, and against moves caused by random small loads while all are almost idle.
func TestLoadPlanner(t *testing.T) {
	now := time.Unix(1000, 0)
	hotMoves := loadPlanner{}.Plan(now, controller.PlannerInput{Shares: []controller.UpstreamShards{
		uniformUpstream("a", 0, 10, 0.3), uniformUpstream("b", 10, 10, 0.1), uniformUpstream("c", 20, 10, 0.1),
	}})
	must.SliceNotEmpty(t, hotMoves)
	for _, m := range hotMoves {
		must.Eq(t, "a", m.From)
	}
	idleMoves := loadPlanner{}.Plan(now, controller.PlannerInput{Shares: []controller.UpstreamShards{
		uniformUpstream("a", 0, 10, 0.001), uniformUpstream("b", 10, 10, 0), uniformUpstream("c", 20, 10, 0),
	}})
	must.SliceEmpty(t, idleMoves)
}

// Guards against moving a shard again too soon after its previous move.
func TestLoadPlannerKeepsRecentlyMovedShards(t *testing.T) {
	s := uniformUpstream("a", 0, 10, 0.3)
	s.RecentlyMoved, s.Shards = s.Shards, nil
	moves := loadPlanner{}.Plan(time.Unix(1000, 0), controller.PlannerInput{Shares: []controller.UpstreamShards{s, uniformUpstream("b", 10, 10, 0.1)}})
	must.SliceEmpty(t, moves)
}
