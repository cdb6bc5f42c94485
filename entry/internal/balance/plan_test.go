package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/balance"
	"bramleystand.org/entry/internal/control"
)

var epoch = time.Unix(0, 0)

// randomUpstreams returns upstreams with shards of random load; one shard in a hundred, at random, has ten times
// the load.
func randomUpstreams(random *rand.Rand, upstreams, shards int) []balance.Upstream {
	out := make([]balance.Upstream, upstreams)
	for i := range out {
		out[i] = balance.Upstream{Name: fmt.Sprintf("upstream-%04d", i), Slots: 6}
		for j := range shards {
			load := random.ExpFloat64() / float64(shards)
			if random.IntN(100) == 0 {
				load *= 10
			}
			out[i].Shards = append(out[i].Shards, control.ShardLoad{Shard: shard.Shard(i*shards + j), Load: load})
		}
	}
	return out
}

// applyMoves carries out a plan. It fails the test if a move names a shard that its source does not own or a
// target that must give up its shards.
func applyMoves(t must.T, in *balance.Input, moves []balance.Move, now time.Time) {
	for _, m := range moves {
		owned := &in.Unowned
		for i := range in.Upstreams {
			if in.Upstreams[i].Name == m.From {
				owned = &in.Upstreams[i].Shards
			}
		}
		at := slices.IndexFunc(*owned, func(l control.ShardLoad) bool { return l.Shard == m.Shard })
		must.NotEq(t, -1, at)
		for i := range in.Upstreams {
			if in.Upstreams[i].Name == m.To {
				must.False(t, in.Upstreams[i].Evacuate)
				in.Upstreams[i].Shards = append(in.Upstreams[i].Shards, (*owned)[at])
			}
		}
		*owned = slices.Delete(*owned, at, at+1)
		in.LastMoved[m.Shard] = now
	}
}

// maxLoadRatio returns the load per slot of the most loaded upstream as a multiple of the mean.
func maxLoadRatio(in balance.Input) float64 {
	total, slots, most := 0.0, 0, 0.0
	for _, u := range in.Upstreams {
		load := 0.0
		for _, s := range u.Shards {
			load += s.Load
		}
		total += load
		if !u.Evacuate {
			slots += u.Slots
			most = max(most, load/float64(u.Slots))
		}
	}
	return most / (total / float64(slots))
}

// maxShardRatio returns the load of the most loaded shard as a multiple of the mean load of an upstream.
func maxShardRatio(in balance.Input) float64 {
	total, most := 0.0, 0.0
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			total += s.Load
			most = max(most, s.Load)
		}
	}
	return most / total * float64(len(in.Upstreams))
}

// minMoves returns a lower bound on the moves that a balance needs: for each overloaded upstream, the number of its
// largest shards that make up the excess load.
func minMoves(in balance.Input) int {
	total, moves := 0.0, 0
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			total += s.Load
		}
	}
	for _, u := range in.Upstreams {
		excess := -balance.MaxLoadRatio * total / float64(len(in.Upstreams))
		var loads []float64
		for _, s := range u.Shards {
			excess += s.Load
			loads = append(loads, s.Load)
		}
		slices.Sort(loads)
		for i := len(loads) - 1; excess > 0; i-- {
			excess -= loads[i]
			moves++
		}
	}
	return moves
}

// planUntilBalanced plans every 10 s and applies the moves until a plan has none. It returns the number of moves.
func planUntilBalanced(t must.T, in *balance.Input) int {
	total := 0
	for now := epoch; ; now = now.Add(10 * time.Second) {
		moves := balance.Plan(now, *in)
		applyMoves(t, in, moves, now)
		total += len(moves)
		if len(moves) == 0 {
			return total
		}
	}
}

// Guards against imbalance that remains, moves that make the balance worse, shards that move again within a minute and
// more moves at once than allowed.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := balance.Input{Upstreams: randomUpstreams(random, rapid.IntRange(2, 30).Draw(t, "upstreams"), 100), LastMoved: map[shard.Shard]time.Time{}}
		moved := map[shard.Shard]time.Time{}
		now := epoch
		for ; ; now = now.Add(10 * time.Second) {
			in.MovesInProgress = rapid.IntRange(0, 3).Draw(t, "moving")
			before, moves := maxLoadRatio(in), balance.Plan(now, in)
			must.LessEq(t, 4, len(moves)+in.MovesInProgress)
			for _, m := range moves {
				last, again := moved[m.Shard]
				must.False(t, again && now.Sub(last) < time.Minute)
				moved[m.Shard] = now
			}
			applyMoves(t, &in, moves, now)
			must.LessEq(t, max(before, balance.MaxLoadRatio)+1e-9, maxLoadRatio(in))
			if len(moves) == 0 {
				break
			}
		}
		must.LessEq(t, balance.MaxLoadRatio+1e-9, maxLoadRatio(in))
	})
}

// Guards against shards that stay with a lost server or without an owner, and against reassigned shards that overload
// another server.
func TestReassignsShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := balance.Input{Upstreams: randomUpstreams(random, 30, 100), LastMoved: map[shard.Shard]time.Time{}}
		planUntilBalanced(t, &in)
		in.Upstreams[3].Evacuate = true
		in.Unowned, in.Upstreams[5].Shards = in.Upstreams[5].Shards, nil
		applyMoves(t, &in, balance.Plan(epoch, in), epoch)
		must.SliceEmpty(t, in.Upstreams[3].Shards)
		must.SliceEmpty(t, in.Unowned)
		// A shard goes to the least loaded server, which has at most the mean load.
		must.LessEq(t, max(1.2, 1+maxShardRatio(in)), maxLoadRatio(in))
	})
}

// Guards against a plan that depends on the order of servers and shards in the input.
func TestPlanIgnoresInputOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	in := balance.Input{Upstreams: randomUpstreams(random, 30, 34)}
	in.Upstreams[0].Evacuate = true
	want := balance.Plan(epoch, in)
	for range 20 {
		random.Shuffle(len(in.Upstreams), func(i, j int) {
			in.Upstreams[i], in.Upstreams[j] = in.Upstreams[j], in.Upstreams[i]
		})
		for _, u := range in.Upstreams {
			random.Shuffle(len(u.Shards), func(i, j int) { u.Shards[i], u.Shards[j] = u.Shards[j], u.Shards[i] })
		}
		must.Eq(t, want, balance.Plan(epoch, in))
	}
}

// Guards against shards that move again before loads, which are decayed sums, show the effect of the last move.
func TestMinMoveInterval(t *testing.T) {
	in := balance.Input{Upstreams: randomUpstreams(rand.New(rand.NewPCG(1, 0)), 10, 34), LastMoved: map[shard.Shard]time.Time{}}
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			in.LastMoved[s.Shard] = epoch
		}
	}
	must.SliceEmpty(t, balance.Plan(epoch.Add(time.Minute-1), in))
	must.SliceNotEmpty(t, balance.Plan(epoch.Add(time.Minute), in))
}

// Guards against idle shards that are all reassigned to the least loaded server, because they add no load to it.
func TestIdleShardsAreSpread(t *testing.T) {
	in := balance.Input{Upstreams: randomUpstreams(rand.New(rand.NewPCG(1, 0)), 10, 100), LastMoved: map[shard.Shard]time.Time{}}
	planUntilBalanced(t, &in)
	for s := range shard.Shard(100) {
		in.Unowned = append(in.Unowned, control.ShardLoad{Shard: 10_000 + s})
	}
	received := map[string]int{}
	for _, m := range balance.Plan(epoch, in) {
		received[m.To]++
	}
	for _, n := range received {
		must.LessEq(t, 60, n)
	}
}

// Guards against shards of equal load that are spread unevenly, and against a new server that gets no shards or too many
// at once.
func TestNewServer(t *testing.T) {
	in := balance.Input{Upstreams: make([]balance.Upstream, 4), LastMoved: map[shard.Shard]time.Time{}}
	for i := range in.Upstreams {
		in.Upstreams[i] = balance.Upstream{Name: fmt.Sprint(i), Slots: 6}
	}
	for s := range shard.Shard(1024) {
		in.Unowned = append(in.Unowned, control.ShardLoad{Shard: s})
	}
	applyMoves(t, &in, balance.Plan(epoch, in), epoch)
	for i, u := range in.Upstreams {
		must.Len(t, 256, u.Shards)
		for j := range u.Shards {
			in.Upstreams[i].Shards[j].Load = 0.01
		}
	}
	in.Upstreams = append(in.Upstreams, balance.Upstream{Name: "new", Slots: 6})
	now := epoch.Add(time.Hour)
	must.Len(t, 4, balance.Plan(now, in))
	for range 100 {
		now = now.Add(10 * time.Second)
		applyMoves(t, &in, balance.Plan(now, in), now)
	}
	must.Between(t, 100, len(in.Upstreams[4].Shards), 205)
}

// Guards against a server that a single hot shard overloads and that loses all its other shards, and against moves
// between nearly idle servers.
func TestNoUselessMoves(t *testing.T) {
	in := balance.Input{Upstreams: randomUpstreams(rand.New(rand.NewPCG(1, 0)), 10, 100), LastMoved: map[shard.Shard]time.Time{}}
	in.Upstreams[0].Shards[0].Load = 10
	must.LessEq(t, 60, planUntilBalanced(t, &in))
	in.Upstreams = randomUpstreams(rand.New(rand.NewPCG(1, 0)), 10, 100)
	in.Upstreams[0].Shards[0].Load = 10
	must.SliceNotEmpty(t, balance.Plan(epoch.Add(time.Hour), in))
	for _, u := range in.Upstreams {
		for i := range u.Shards {
			u.Shards[i].Load /= 1000
		}
	}
	must.SliceEmpty(t, balance.Plan(epoch.Add(time.Hour), in))
}

// BenchmarkMovesToBalance reports the mean number of moves until a random fleet is balanced, beside a lower bound.
// Fleets with a shard that overloads any server by itself are left out.
func BenchmarkMovesToBalance(b *testing.B) {
	const seeds = 200
	for _, upstreams := range []int{10, 30} {
		for _, shards := range []int{34, 100} {
			b.Run(fmt.Sprintf("upstreams=%d/shards=%d", upstreams, shards), func(b *testing.B) {
				for b.Loop() {
					fleets, moves, bound, missed := 0, 0, 0, 0
					for seed := range uint64(seeds) {
						in := balance.Input{Upstreams: randomUpstreams(rand.New(rand.NewPCG(seed, 1)), upstreams, shards), LastMoved: map[shard.Shard]time.Time{}}
						if maxShardRatio(in) > balance.MaxLoadRatio {
							continue
						}
						fleets++
						bound += minMoves(in)
						moves += planUntilBalanced(b, &in)
						if maxLoadRatio(in) > balance.MaxLoadRatio+1e-9 {
							missed++
						}
					}
					b.ReportMetric(float64(moves)/float64(fleets), "moves")
					b.ReportMetric(float64(bound)/float64(fleets), "least")
					b.ReportMetric(float64(fleets), "fleets")
					b.ReportMetric(float64(missed), "missed")
				}
			})
		}
	}
}

// BenchmarkPlan measures plans for fleets of different sizes, for a better balance and for a lost server.
func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{30, 300, 2100} {
		in := balance.Input{Upstreams: randomUpstreams(rand.New(rand.NewPCG(1, 0)), upstreams, 32)}
		for _, evacuate := range []bool{false, true} {
			in.Upstreams[0].Evacuate = evacuate
			b.Run(fmt.Sprintf("upstreams=%d/evacuate=%v", upstreams, evacuate), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					balance.Plan(epoch, in)
				}
			})
		}
	}
}
