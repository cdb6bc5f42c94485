package balance

import (
	"cmp"
	"slices"

	"bramleystand.org/entry/internal/control"
)

// server is an upstream that may own shards, while a plan is made.
type server struct {
	name  string
	slots float64
	load  float64
	// count is the number of shards; shards holds those that the plan may move.
	count   int
	shards  []control.ShardLoad
	filling bool
}

// newServer copies an upstream with its shards in ascending order.
func newServer(u *Upstream) *server {
	s := &server{name: u.Name, slots: float64(u.Slots), count: len(u.Shards), shards: slices.Clone(u.Shards)}
	slices.SortFunc(s.shards, func(a, b control.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	for _, l := range s.shards {
		s.load += l.Load
	}
	return s
}

// add gives a shard to the server for the rest of the plan.
func (s *server) add(load float64) {
	s.load += load
	s.count++
}

// density returns the load of a slot.
func (s *server) density() float64 {
	return s.load / s.slots
}

// hottest returns the load of the most loaded shard.
func (s *server) hottest() float64 {
	most := 0.0
	for _, l := range s.shards {
		most = max(most, l.Load)
	}
	return most
}

// compare orders servers by load, then by number of shards, each by slot, then by name.
func compare(a, b *server) int {
	return cmp.Or(cmp.Compare(a.density(), b.density()), cmp.Compare(float64(a.count)/a.slots, float64(b.count)/b.slots), cmp.Compare(a.name, b.name))
}
