package process

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/controller"
)

// share returns an upstream with shards of equal load.
func share(name string, first, count int, load float64) controller.Share {
	s := controller.Share{Upstream: name, Slots: 4, Loads: make(map[shard.Shard]float64)}
	for i := range count {
		n := shard.Shard(first + i)
		s.Shards = append(s.Shards, n)
		s.Loads[n] = load
	}
	return s
}

// Guards against a hot upstream keeping its shards because their number is even, and
// against moves that follow the noise of an idle fleet.
func TestLoadPlanner(t *testing.T) {
	now := time.Unix(1000, 0)
	hot := loadPlanner{}.Plan(now, controller.View{Shares: []controller.Share{
		share("a", 0, 10, 0.3), share("b", 10, 10, 0.1), share("c", 20, 10, 0.1),
	}})
	must.SliceNotEmpty(t, hot)
	for _, m := range hot {
		must.Eq(t, "a", m.From)
	}
	idle := loadPlanner{}.Plan(now, controller.View{Shares: []controller.Share{
		share("a", 0, 10, 0.001), share("b", 10, 10, 0), share("c", 20, 10, 0),
	}})
	must.SliceEmpty(t, idle)
}

// Guards against a shard moving again before it has rested.
func TestLoadPlannerKeepsFixedShards(t *testing.T) {
	s := share("a", 0, 10, 0.3)
	s.Fixed, s.Shards = s.Shards, nil
	moves := loadPlanner{}.Plan(time.Unix(1000, 0), controller.View{Shares: []controller.Share{s, share("b", 10, 10, 0.1)}})
	must.SliceEmpty(t, moves)
}
