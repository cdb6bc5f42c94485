package place_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/place"
)

// all is the range of all keys.
var all = keyspace.Range{First: 0, Last: keyspace.Last}

// limits are those of the coordinator for the load of the last second.
func limits(noise float64) place.Limits { return place.Limits{Tolerance: 1.3, Noise: noise} }

// prefixOf sums up a load for each key.
func prefixOf(load func(k int) float64) []float64 {
	p := make([]float64, keyspace.Count+1)
	for k := range keyspace.Count {
		p[k+1] = p[k] + load(k)
	}
	return p
}

// apply carries a plan out and returns the ranges after it; each key must have one owner.
func apply(t *testing.T, ranges []place.Range, moves []place.Move) []place.Range {
	t.Helper()
	owners := make([]int, keyspace.Count)
	for _, r := range ranges {
		for k := int(r.First); k <= int(r.Last); k++ {
			owners[k] = r.Owner
		}
	}
	moved := make([]bool, keyspace.Count)
	for _, m := range moves {
		for k := int(m.Keys.First); k <= int(m.Keys.Last); k++ {
			must.False(t, moved[k], must.Sprintf("key %d moves twice", k))
			moved[k] = true
			owners[k] = m.To
		}
	}
	var out []place.Range
	for k, o := range owners {
		if k > 0 && owners[k-1] == o {
			out[len(out)-1].Last = keyspace.Key(k)
			continue
		}
		out = append(out, place.Range{Range: keyspace.Range{First: keyspace.Key(k), Last: keyspace.Key(k)}, Owner: o})
	}
	return out
}

// uses returns the utilisation of each server.
func uses(servers []place.Server, ranges []place.Range, prefix []float64) []float64 {
	out := make([]float64, len(servers))
	for _, r := range ranges {
		if r.Owner >= 0 {
			out[r.Owner] += (prefix[int(r.Last)+1] - prefix[r.First]) / servers[r.Owner].Capacity
		}
	}
	return out
}

// fleet returns servers of 4 slots with the speeds of the bench's deployments.
func fleet(n int) []place.Server {
	speeds := []float64{0.5, 1, 1, 1.5}
	out := make([]place.Server, n)
	for i := range out {
		out[i].Capacity = 4 * speeds[i%len(speeds)]
	}
	return out
}

func highest(values []float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most
}

// Guards against keys without an owner after the first deal, and against one that ignores speeds.
func TestFirstDeal(t *testing.T) {
	servers := fleet(25)
	prefix := prefixOf(func(int) float64 { return 40.0 / keyspace.Count })
	ranges := []place.Range{{Range: all, Owner: -1}}
	after := apply(t, ranges, place.Plan(servers, ranges, prefix, limits(0)))
	for _, r := range after {
		must.GreaterEq(t, 0, r.Owner)
	}
	must.Less(t, 0.55, highest(uses(servers, after, prefix)))
}

// Guards against a hot key range that stays with one server: 40% of the requests fall on 60 neighbouring keys.
func TestHotRange(t *testing.T) {
	servers := fleet(25)
	even := prefixOf(func(int) float64 { return 30.0 / keyspace.Count })
	ranges := []place.Range{{Range: all, Owner: -1}}
	ranges = apply(t, ranges, place.Plan(servers, ranges, even, limits(0)))
	hot := prefixOf(func(k int) float64 {
		if k >= 1000 && k < 1060 {
			return 20.0 / 60
		}
		return 30.0 / keyspace.Count
	})
	must.Greater(t, 3, highest(uses(servers, ranges, hot)))
	for range 3 {
		ranges = apply(t, ranges, place.Plan(servers, ranges, hot, limits(0)))
	}
	must.Less(t, 0.8, highest(uses(servers, ranges, hot)))
}

// Guards against moves that gain nothing: a balanced fleet, and one with room everywhere.
func TestNoNeedlessMoves(t *testing.T) {
	servers := fleet(25)
	even := prefixOf(func(int) float64 { return 30.0 / keyspace.Count })
	ranges := []place.Range{{Range: all, Owner: -1}}
	ranges = apply(t, ranges, place.Plan(servers, ranges, even, limits(0)))
	must.SliceEmpty(t, place.Plan(servers, ranges, even, limits(0)))
	random := rand.New(rand.NewPCG(1, 0))
	quiet := prefixOf(func(int) float64 { return random.ExpFloat64() * 10 / keyspace.Count })
	must.SliceEmpty(t, place.Plan(servers, ranges, quiet, limits(0.2)))
}

// Guards against a server that joins and gets no work.
func TestJoiningServer(t *testing.T) {
	servers := fleet(24)
	even := prefixOf(func(int) float64 { return 30.0 / keyspace.Count })
	ranges := []place.Range{{Range: all, Owner: -1}}
	ranges = apply(t, ranges, place.Plan(servers, ranges, even, limits(0)))
	servers = append(servers, place.Server{Capacity: 4})
	ranges = apply(t, ranges, place.Plan(servers, ranges, even, limits(0.2)))
	must.Greater(t, 0.1, uses(servers, ranges, even)[24])
}

// Guards against plans on servers or ranges that can't take or give anything.
func TestNothingToPlan(t *testing.T) {
	even := prefixOf(func(int) float64 { return 30.0 / keyspace.Count })
	must.SliceEmpty(t, place.Plan(nil, []place.Range{{Range: all, Owner: -1}}, even, limits(0)))
	fixed := []place.Range{{Range: all, Owner: -1, Fixed: true}}
	must.SliceEmpty(t, place.Plan(fleet(2), fixed, even, limits(0)))
}

// Guards against a hot range that outlasts its heat: at 369 servers, a third of the load falls on
// 200 neighbouring keys within a second, and two plans must spread it, because the heat lasts for
// some seconds and a plan is made each 0.4 s.
func TestHotRangeOfManyServers(t *testing.T) {
	servers := fleet(369)
	const requests, work = 2100.0, 0.4
	cool := prefixOf(func(int) float64 { return requests * work / keyspace.Count })
	ranges := apply(t, []place.Range{{Range: all, Owner: -1}}, place.Plan(servers, []place.Range{{Range: all, Owner: -1}}, cool, limits(0)))
	hot := prefixOf(func(k int) float64 {
		load := 0.65 * requests * work / keyspace.Count
		if k >= 30_000 && k < 30_200 {
			load += 0.35 * requests * work / 200
		}
		return load
	})
	noise := 1 / math.Sqrt(1.2*requests/float64(len(servers)))
	for range 2 {
		ranges = apply(t, ranges, place.Plan(servers, ranges, hot, limits(noise)))
	}
	over := 0.0
	for i, u := range uses(servers, ranges, hot) {
		over += max(0, u-1) * servers[i].Capacity
	}
	// What is beyond the slots of the servers can't be served; 5% of the hot load may be.
	must.Less(t, 0.05*0.35*requests*work, over)
}

func BenchmarkHotRangeOfManyServers(b *testing.B) {
	servers := fleet(369)
	cool := prefixOf(func(int) float64 { return 840.0 / keyspace.Count })
	var ranges []place.Range
	for i := range 369 {
		ranges = append(ranges, place.Range{Range: keyspace.Range{First: keyspace.Key(i * 177), Last: keyspace.Key(i*177 + 176)}, Owner: i})
	}
	ranges[368].Last = keyspace.Last
	hot := prefixOf(func(k int) float64 {
		if k >= 30_000 && k < 30_200 {
			return 294.0 / 200
		}
		return cool[1] * 0.65
	})
	for b.Loop() {
		place.Plan(servers, ranges, hot, limits(0.38))
	}
}
