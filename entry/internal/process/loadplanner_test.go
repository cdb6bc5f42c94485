package process

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/controller"
)

// uniformShare returns an upstream with count shards of equal load, numbered from first.
func uniformShare(name string, first, count int, load float64) controller.UpstreamShards {
	s := controller.UpstreamShards{Upstream: name, Slots: 4, Loads: make(map[shard.Shard]float64)}
	for i := range count {
		n := shard.Shard(first + i)
		s.Shards = append(s.Shards, n)
		s.Loads[n] = load
	}
	return s
}

// Guards against an overloaded upstream keeping its shards because all upstreams have the
// same number, and against moves caused by random small loads while all are almost idle.
func TestLoadPlanner(t *testing.T) {
	now := time.Unix(1000, 0)
	hotMoves := loadPlanner{}.Plan(now, controller.PlannerInput{Shares: []controller.UpstreamShards{
		uniformShare("a", 0, 10, 0.3), uniformShare("b", 10, 10, 0.1), uniformShare("c", 20, 10, 0.1),
	}})
	must.SliceNotEmpty(t, hotMoves)
	for _, m := range hotMoves {
		must.Eq(t, "a", m.From)
	}
	idleMoves := loadPlanner{}.Plan(now, controller.PlannerInput{Shares: []controller.UpstreamShards{
		uniformShare("a", 0, 10, 0.001), uniformShare("b", 10, 10, 0), uniformShare("c", 20, 10, 0),
	}})
	must.SliceEmpty(t, idleMoves)
}

// Guards against moving a shard again too soon after its previous move: fixed shards are
// those that moved recently.
func TestLoadPlannerKeepsFixedShards(t *testing.T) {
	s := uniformShare("a", 0, 10, 0.3)
	s.RecentlyMoved, s.Shards = s.Shards, nil
	moves := loadPlanner{}.Plan(time.Unix(1000, 0), controller.PlannerInput{Shares: []controller.UpstreamShards{s, uniformShare("b", 10, 10, 0.1)}})
	must.SliceEmpty(t, moves)
}
