package place_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/place"
)

// allKeys is the range of all keys.
var allKeys = keyspace.Range{First: 0, Last: keyspace.Last}

// recentLimits returns the coordinator's limits for the load of the last second.
func recentLimits(noise float64) place.Limits { return place.Limits{Tolerance: 1.3, Noise: noise} }

// prefixLoads returns the prefix sums of a load function over the keys.
func prefixLoads(load func(k int) float64) []float64 {
	p := make([]float64, keyspace.KeyCount+1)
	for k := range keyspace.KeyCount {
		p[k+1] = p[k] + load(k)
	}
	return p
}

// applyMoves returns the ranges after the moves of a plan and checks that no key moves twice.
func applyMoves(t *testing.T, ranges []place.Range, moves []place.Move) []place.Range {
	t.Helper()
	owners := make([]int, keyspace.KeyCount)
	for _, r := range ranges {
		for k := int(r.First); k <= int(r.Last); k++ {
			owners[k] = r.Owner
		}
	}
	moved := make([]bool, keyspace.KeyCount)
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

// utilisations returns the utilisation of each server.
func utilisations(servers []place.Server, ranges []place.Range, prefix []float64) []float64 {
	out := make([]float64, len(servers))
	for _, r := range ranges {
		if r.Owner >= 0 {
			out[r.Owner] += (prefix[int(r.Last)+1] - prefix[r.First]) / servers[r.Owner].Capacity
		}
	}
	return out
}

// newServers returns servers with 4 slots and the speeds of the benchmark deployments.
func newServers(n int) []place.Server {
	speeds := []float64{0.5, 1, 1, 1.5}
	out := make([]place.Server, n)
	for i := range out {
		out[i].Capacity = 4 * speeds[i%len(speeds)]
	}
	return out
}

func maxOf(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

// Guards against keys without an owner after the initial assignment, and against an assignment that
// ignores the servers' speeds.
func TestInitialAssignment(t *testing.T) {
	servers := newServers(25)
	prefix := prefixLoads(func(int) float64 { return 40.0 / keyspace.KeyCount })
	ranges := []place.Range{{Range: allKeys, Owner: -1}}
	after := applyMoves(t, ranges, place.Plan(servers, ranges, prefix, recentLimits(0)))
	for _, r := range after {
		must.GreaterEq(t, 0, r.Owner)
	}
	must.Less(t, 0.55, maxOf(utilisations(servers, after, prefix)))
}

// Guards against a hot range that stays with one server: 40% of the requests fall on 60
// neighbouring keys.
func TestHotRange(t *testing.T) {
	servers := newServers(25)
	even := prefixLoads(func(int) float64 { return 30.0 / keyspace.KeyCount })
	ranges := []place.Range{{Range: allKeys, Owner: -1}}
	ranges = applyMoves(t, ranges, place.Plan(servers, ranges, even, recentLimits(0)))
	hot := prefixLoads(func(k int) float64 {
		if k >= 1000 && k < 1060 {
			return 20.0 / 60
		}
		return 30.0 / keyspace.KeyCount
	})
	must.Greater(t, 3, maxOf(utilisations(servers, ranges, hot)))
	for range 3 {
		ranges = applyMoves(t, ranges, place.Plan(servers, ranges, hot, recentLimits(0)))
	}
	must.Less(t, 0.8, maxOf(utilisations(servers, ranges, hot)))
}

// Guards against moves that gain nothing: on balanced servers, and on servers that all have spare
// capacity.
func TestNoNeedlessMoves(t *testing.T) {
	servers := newServers(25)
	even := prefixLoads(func(int) float64 { return 30.0 / keyspace.KeyCount })
	ranges := []place.Range{{Range: allKeys, Owner: -1}}
	ranges = applyMoves(t, ranges, place.Plan(servers, ranges, even, recentLimits(0)))
	must.SliceEmpty(t, place.Plan(servers, ranges, even, recentLimits(0)))
	random := rand.New(rand.NewPCG(1, 0))
	lightLoad := prefixLoads(func(int) float64 { return random.ExpFloat64() * 10 / keyspace.KeyCount })
	must.SliceEmpty(t, place.Plan(servers, ranges, lightLoad, recentLimits(0.2)))
}

// Guards against a server that joins and gets no keys.
func TestJoiningServer(t *testing.T) {
	servers := newServers(24)
	even := prefixLoads(func(int) float64 { return 30.0 / keyspace.KeyCount })
	ranges := []place.Range{{Range: allKeys, Owner: -1}}
	ranges = applyMoves(t, ranges, place.Plan(servers, ranges, even, recentLimits(0)))
	servers = append(servers, place.Server{Capacity: 4})
	ranges = applyMoves(t, ranges, place.Plan(servers, ranges, even, recentLimits(0.2)))
	must.Greater(t, 0.1, utilisations(servers, ranges, even)[24])
}

// Guards against moves when there are no servers, or when no range may be moved.
func TestNothingToPlan(t *testing.T) {
	even := prefixLoads(func(int) float64 { return 30.0 / keyspace.KeyCount })
	must.SliceEmpty(t, place.Plan(nil, []place.Range{{Range: allKeys, Owner: -1}}, even, recentLimits(0)))
	fixed := []place.Range{{Range: allKeys, Owner: -1, Fixed: true}}
	must.SliceEmpty(t, place.Plan(newServers(2), fixed, even, recentLimits(0)))
}

// Guards against a hot range that is spread too late: at 369 servers, a third of the load falls on
// 200 neighbouring keys within a second. Two plans must spread it, because such a load lasts for
// some seconds and a plan is made every 0.4 s.
func TestHotRangeOfManyServers(t *testing.T) {
	servers := newServers(369)
	const requests, serviceTime = 2100.0, 0.4
	evenLoad := prefixLoads(func(int) float64 { return requests * serviceTime / keyspace.KeyCount })
	ranges := applyMoves(t, []place.Range{{Range: allKeys, Owner: -1}}, place.Plan(servers, []place.Range{{Range: allKeys, Owner: -1}}, evenLoad, recentLimits(0)))
	hot := prefixLoads(func(k int) float64 {
		load := 0.65 * requests * serviceTime / keyspace.KeyCount
		if k >= 30_000 && k < 30_200 {
			load += 0.35 * requests * serviceTime / 200
		}
		return load
	})
	noise := 1 / math.Sqrt(1.2*requests/float64(len(servers)))
	for range 2 {
		ranges = applyMoves(t, ranges, place.Plan(servers, ranges, hot, recentLimits(noise)))
	}
	overload := 0.0
	for i, u := range utilisations(servers, ranges, hot) {
		overload += max(0, u-1) * servers[i].Capacity
	}
	// Load beyond the slots of the servers can't be served; up to 5% of the hot load may be.
	must.Less(t, 0.05*0.35*requests*serviceTime, overload)
}

func BenchmarkHotRangeOfManyServers(b *testing.B) {
	servers := newServers(369)
	evenLoad := prefixLoads(func(int) float64 { return 840.0 / keyspace.KeyCount })
	var ranges []place.Range
	for i := range 369 {
		ranges = append(ranges, place.Range{Range: keyspace.Range{First: keyspace.Key(i * 177), Last: keyspace.Key(i*177 + 176)}, Owner: i})
	}
	ranges[368].Last = keyspace.Last
	hot := prefixLoads(func(k int) float64 {
		if k >= 30_000 && k < 30_200 {
			return 294.0 / 200
		}
		return evenLoad[1] * 0.65
	})
	for b.Loop() {
		place.Plan(servers, ranges, hot, recentLimits(0.38))
	}
}

// Guards against a server with almost no capacity, because it limits its requests, that keeps its keys or
// stops the balancing of the others.
func TestLimitedServer(t *testing.T) {
	const n = 10
	prefix := prefixLoads(func(int) float64 { return 0.5 * 4 * n / keyspace.KeyCount })
	servers := make([]place.Server, n)
	var ranges []place.Range
	for i := range servers {
		servers[i].Capacity = 4
		first := keyspace.Key(i * keyspace.KeyCount / n)
		ranges = append(ranges, place.Range{Range: keyspace.Range{First: first, Last: keyspace.Key((i+1)*keyspace.KeyCount/n - 1)}, Owner: i})
	}
	for _, capacity := range []float64{0.001, 0.05, 0.6} {
		servers[3].Capacity = capacity
		current := ranges
		for range 3 {
			current = applyMoves(t, current, place.Plan(servers, current, prefix, recentLimits(0.1)))
		}
		loads := make([]float64, n)
		for _, r := range current {
			loads[r.Owner] += prefix[int(r.Last)+1] - prefix[r.First]
		}
		for i, s := range servers {
			must.LessEq(t, 1, loads[i]/s.Capacity, must.Sprintf("server %d with capacity %v", i, s.Capacity))
		}
	}
}
