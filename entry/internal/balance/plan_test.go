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

// fleet returns upstreams with shards of random load; a share of the shards is ten times as hot.
func fleet(random *rand.Rand, upstreams, shards int) []balance.Upstream {
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

// apply carries out a plan; it fails if a move names a shard that its upstream does not own.
func apply(t must.T, in *balance.Input, moves []balance.Move, now time.Time) {
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
				must.False(t, in.Upstreams[i].Gone)
				in.Upstreams[i].Shards = append(in.Upstreams[i].Shards, (*owned)[at])
			}
		}
		*owned = slices.Delete(*owned, at, at+1)
		in.Moved[m.Shard] = now
	}
}

// ratio returns the largest load of a slot in means.
func ratio(in balance.Input) float64 {
	total, slots, most := 0.0, 0, 0.0
	for _, u := range in.Upstreams {
		load := 0.0
		for _, s := range u.Shards {
			load += s.Load
		}
		total += load
		if !u.Gone {
			slots += u.Slots
			most = max(most, load/float64(u.Slots))
		}
	}
	return most / (total / float64(slots))
}

// hottest returns the load of the most loaded shard in means of a server.
func hottest(in balance.Input) float64 {
	total, most := 0.0, 0.0
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			total += s.Load
			most = max(most, s.Load)
		}
	}
	return most / total * float64(len(in.Upstreams))
}

// least returns a lower bound on the moves that a balance needs: the largest shards that make up each excess.
func least(in balance.Input) int {
	total, moves := 0.0, 0
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			total += s.Load
		}
	}
	for _, u := range in.Upstreams {
		excess := -balance.MaxRatio * total / float64(len(in.Upstreams))
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

// settle plans every 10 s until nothing is moved any more and returns the number of moves.
func settle(t must.T, in *balance.Input) int {
	total := 0
	for now := epoch; ; now = now.Add(10 * time.Second) {
		moves := balance.Plan(now, *in)
		apply(t, in, moves, now)
		total += len(moves)
		if len(moves) == 0 {
			return total
		}
	}
}

// Guards against imbalance that stays, moves without effect, shards that move again at once, and too many moves at once.
func TestSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := balance.Input{Upstreams: fleet(random, rapid.IntRange(2, 30).Draw(t, "upstreams"), 100), Moved: map[shard.Shard]time.Time{}}
		moved := map[shard.Shard]time.Time{}
		now := epoch
		for ; ; now = now.Add(10 * time.Second) {
			in.Moving = rapid.IntRange(0, 3).Draw(t, "moving")
			before, moves := ratio(in), balance.Plan(now, in)
			must.LessEq(t, 4, len(moves)+in.Moving)
			for _, m := range moves {
				last, again := moved[m.Shard]
				must.False(t, again && now.Sub(last) < time.Minute)
				moved[m.Shard] = now
			}
			apply(t, &in, moves, now)
			must.LessEq(t, max(before, balance.MaxRatio)+1e-9, ratio(in))
			if len(moves) == 0 {
				break
			}
		}
		must.LessEq(t, balance.MaxRatio+1e-9, ratio(in))
	})
}

// Guards against shards without an owner, and against a lost server's shards that overload another one.
func TestGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := balance.Input{Upstreams: fleet(random, 30, 100), Moved: map[shard.Shard]time.Time{}}
		settle(t, &in)
		in.Upstreams[3].Gone = true
		in.Unowned, in.Upstreams[5].Shards = in.Upstreams[5].Shards, nil
		apply(t, &in, balance.Plan(epoch, in), epoch)
		must.SliceEmpty(t, in.Upstreams[3].Shards)
		must.SliceEmpty(t, in.Unowned)
		// A shard goes to the least loaded server, which has at most the mean load.
		must.LessEq(t, max(1.2, 1+hottest(in)), ratio(in))
	})
}

// Guards against a plan that depends on the order in which servers and shards are listed.
func TestDeterministic(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	in := balance.Input{Upstreams: fleet(random, 30, 34)}
	in.Upstreams[0].Gone = true
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

// Guards against shards that move again before their load shows the effect of the last move.
func TestRest(t *testing.T) {
	in := balance.Input{Upstreams: fleet(rand.New(rand.NewPCG(1, 0)), 10, 34), Moved: map[shard.Shard]time.Time{}}
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			in.Moved[s.Shard] = epoch
		}
	}
	must.SliceEmpty(t, balance.Plan(epoch.Add(time.Minute-1), in))
	must.SliceNotEmpty(t, balance.Plan(epoch.Add(time.Minute), in))
}

// Guards against a lost server's idle shards that all go to the one with the least load.
func TestIdleShards(t *testing.T) {
	in := balance.Input{Upstreams: fleet(rand.New(rand.NewPCG(1, 0)), 10, 100), Moved: map[shard.Shard]time.Time{}}
	settle(t, &in)
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

// Guards against shards of equal load that are spread unevenly, and against a new server without shards or with too many at once.
func TestNewServer(t *testing.T) {
	in := balance.Input{Upstreams: make([]balance.Upstream, 4), Moved: map[shard.Shard]time.Time{}}
	for i := range in.Upstreams {
		in.Upstreams[i] = balance.Upstream{Name: fmt.Sprint(i), Slots: 6}
	}
	for s := range shard.Shard(1024) {
		in.Unowned = append(in.Unowned, control.ShardLoad{Shard: s})
	}
	apply(t, &in, balance.Plan(epoch, in), epoch)
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
		apply(t, &in, balance.Plan(now, in), now)
	}
	must.Between(t, 100, len(in.Upstreams[4].Shards), 205)
}

// Guards against a server with one hot shard that loses all others, and against moves between idle servers.
func TestNoUselessMoves(t *testing.T) {
	in := balance.Input{Upstreams: fleet(rand.New(rand.NewPCG(1, 0)), 10, 100), Moved: map[shard.Shard]time.Time{}}
	in.Upstreams[0].Shards[0].Load = 10
	must.LessEq(t, 60, settle(t, &in))
	in.Upstreams = fleet(rand.New(rand.NewPCG(1, 0)), 10, 100)
	in.Upstreams[0].Shards[0].Load = 10
	must.SliceNotEmpty(t, balance.Plan(epoch.Add(time.Hour), in))
	for _, u := range in.Upstreams {
		for i := range u.Shards {
			u.Shards[i].Load /= 1000
		}
	}
	must.SliceEmpty(t, balance.Plan(epoch.Add(time.Hour), in))
}

// BenchmarkSettle reports the moves until a random fleet is balanced, against a lower bound. Fleets with a
// shard that is too hot for any server are left out.
func BenchmarkSettle(b *testing.B) {
	const seeds = 200
	for _, upstreams := range []int{10, 30} {
		for _, shards := range []int{34, 100} {
			b.Run(fmt.Sprintf("upstreams=%d/shards=%d", upstreams, shards), func(b *testing.B) {
				for b.Loop() {
					fleets, moves, bound, missed := 0, 0, 0, 0
					for seed := range uint64(seeds) {
						in := balance.Input{Upstreams: fleet(rand.New(rand.NewPCG(seed, 1)), upstreams, shards), Moved: map[shard.Shard]time.Time{}}
						if hottest(in) > balance.MaxRatio {
							continue
						}
						fleets++
						bound += least(in)
						moves += settle(b, &in)
						if ratio(in) > balance.MaxRatio+1e-9 {
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

// BenchmarkPlan measures plans of different sizes: one for a better balance and one for a lost server.
func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{30, 300, 2100} {
		in := balance.Input{Upstreams: fleet(rand.New(rand.NewPCG(1, 0)), upstreams, 32)}
		for _, gone := range []bool{false, true} {
			in.Upstreams[0].Gone = gone
			b.Run(fmt.Sprintf("upstreams=%d/gone=%v", upstreams, gone), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					balance.Plan(epoch, in)
				}
			})
		}
	}
}
