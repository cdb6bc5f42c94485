package balance

import (
	"cmp"
	"slices"

	"bramleystand.org/entry/internal/control"
)

// server is the planner's copy of an upstream that may own shards.
type server struct {
	name  string
	slots float64
	load  float64
	// shardCount is the number of all owned shards; shards holds those that the plan has not moved.
	// filling is set once the server is being filled as an underloaded one, until the plan is complete.
	shardCount int
	shards     []control.ShardLoad
	filling    bool
}

// newServer copies an upstream and sorts its shards by number, so that plans do not depend on their order.
func newServer(u *Upstream) *server {
	s := &server{name: u.Name, slots: float64(u.Slots), shardCount: len(u.Shards), shards: slices.Clone(u.Shards)}
	slices.SortFunc(s.shards, func(a, b control.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	for _, l := range s.shards {
		s.load += l.Load
	}
	return s
}

// addShard adds the load of a shard that moves to the server.
func (s *server) addShard(load float64) {
	s.load += load
	s.shardCount++
}

// loadPerSlot returns the mean load of the server's slots.
func (s *server) loadPerSlot() float64 {
	return s.load / s.slots
}

// maxShardLoad returns the load of the most loaded shard.
func (s *server) maxShardLoad() float64 {
	most := 0.0
	for _, l := range s.shards {
		most = max(most, l.Load)
	}
	return most
}

// compareLoad orders servers by load per slot, then by shards per slot, then by name.
func compareLoad(a, b *server) int {
	return cmp.Or(cmp.Compare(a.loadPerSlot(), b.loadPerSlot()), cmp.Compare(float64(a.shardCount)/a.slots, float64(b.shardCount)/b.slots), cmp.Compare(a.name, b.name))
}
