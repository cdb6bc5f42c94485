package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
)

var (
	services = [rank.Count]time.Duration{20 * time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond}
	targets  = [rank.Count]time.Duration{time.Second, 300 * time.Millisecond, time.Minute}
	limits   = [rank.Count]configuration.RankLimit{
		{Floor: 40, Cap: 100, Queue: 1000, Timeout: targets[0]},
		{Floor: 20, Cap: 100, Queue: 500, Timeout: targets[1]},
		{Floor: 10, Cap: 85, Queue: 200, Timeout: targets[2]},
	}
	policies = []Policy{Floors{}, First{}, Strict{}, Shares{}}
)

// fleet is a set of equal upstreams.
type fleet struct{ upstreams, slots int }

// flood offers each rank a load in multiples of the slots.
type flood struct {
	name  string
	loads [rank.Count]float64
}

var floods = []flood{
	{"upload flood", [rank.Count]float64{0.15, 0.15, 5}},
	{"confirmation flood", [rank.Count]float64{3, 0.3, 0.3}},
}

// score counts what became of the requests of one rank, and their slot time: all, and of those within target.
type score struct {
	offered, within, refused, expired, late, lost int
	busy, useful                                  time.Duration
}

// finishing is a running request with the time of its end.
type finishing struct {
	at      time.Time
	slot    *Slot
	service time.Duration
}

// warmUp is the time until lines have filled; slot time before it is not counted.
const warmUp = time.Second

// within returns how much of a service lies between two times.
func within(from, to, first, last time.Time) time.Duration {
	if from.Before(first) {
		from = first
	}
	if to.After(last) {
		to = last
	}
	return max(0, to.Sub(from))
}

// replay runs a flood on one upstream in simulated time; arrivals and service times depend on the seed alone.
func replay(policy Policy, f flood, slots int, length time.Duration, seed uint64) [rank.Count]score {
	const tick = 100 * time.Millisecond
	start := time.Unix(0, 0)
	s := newScheduler(slots, policy, start)
	s.limits(limits)
	var scores [rank.Count]score
	var random [rank.Count]*rand.Rand
	var arrival [rank.Count]time.Time
	gap := func(r rank.Rank) time.Duration {
		return time.Duration(random[r].ExpFloat64() * float64(services[r]) / f.loads[r] / float64(slots))
	}
	for r := range rank.Rank(rank.Count) {
		random[r] = rand.New(rand.NewPCG(seed, uint64(r)))
		arrival[r] = start.Add(gap(r))
	}
	var ends []finishing
	var pending [rank.Count][]finishing
	end, ticks := start.Add(length), start
	settle := func(now time.Time) {
		for r := range pending {
			for len(pending[r]) > 0 && pending[r][0].slot.phase != waiting {
				p := pending[r][0]
				pending[r] = pending[r][1:]
				if p.slot.phase == refused {
					scores[r].expired++
					continue
				}
				p.at = now.Add(p.service)
				scores[r].busy += within(now, p.at, start.Add(warmUp), end)
				at, _ := slices.BinarySearchFunc(ends, p, func(a, b finishing) int { return a.at.Compare(b.at) })
				ends = slices.Insert(ends, at, p)
			}
		}
	}
	for now := start; now.Before(end) || len(ends) > 0 || !s.idle(); {
		next := rank.Rank(0)
		for r := range rank.Rank(rank.Count) {
			if arrival[r].Before(arrival[next]) {
				next = r
			}
		}
		switch {
		case len(ends) > 0 && ends[0].at.Before(arrival[next]) && ends[0].at.Before(ticks):
			e := ends[0]
			ends = ends[1:]
			now = e.at
			score := &scores[e.slot.request.Rank]
			onTime := !now.After(e.slot.request.Deadline)
			if onTime {
				score.within++
			} else {
				score.late++
			}
			if onTime {
				score.useful += within(now.Add(-e.service), now, start.Add(warmUp), end)
			}
			s.finish(now, e.slot, e.service)
			s.dispatch(now)
		case ticks.Before(arrival[next]):
			now = ticks
			ticks = ticks.Add(tick)
			s.expire(now)
			s.dispatch(now)
		default:
			now = arrival[next]
			service := time.Duration(random[next].ExpFloat64() * float64(services[next]))
			arrival[next] = now.Add(gap(next))
			if !arrival[next].Before(end) {
				arrival[next] = end.Add(24 * time.Hour)
			}
			scores[next].offered++
			slot := &Slot{request: Request{Rank: next, Deadline: now.Add(targets[next])}}
			if s.admit(now, slot) != nil {
				scores[next].refused++
				continue
			}
			pending[next] = append(pending[next], finishing{slot: slot, service: service})
			s.dispatch(now)
		}
		settle(now)
	}
	for r := range scores {
		c := &scores[r]
		c.lost = c.offered - c.within - c.refused - c.expired - c.late
	}
	return scores
}

// run replays a flood on a whole fleet and returns the sums.
func run(policy Policy, f flood, fl fleet, length time.Duration, seed uint64) [rank.Count]score {
	var total [rank.Count]score
	for i := range fl.upstreams {
		for r, c := range replay(policy, f, fl.slots, length, seed+uint64(i)) {
			t := &total[r]
			t.offered += c.offered
			t.within += c.within
			t.refused += c.refused
			t.expired += c.expired
			t.late += c.late
			t.lost += c.lost
			t.busy += c.busy
			t.useful += c.useful
		}
	}
	return total
}

// share returns the part of all slot time that useful work took.
func share(useful time.Duration, fl fleet, length time.Duration) float64 {
	return useful.Seconds() / ((length - warmUp).Seconds() * float64(fl.upstreams*fl.slots))
}

// Guards against a flood of one rank taking the service of another, and against slots that serve work nobody awaits.
func TestFloods(t *testing.T) {
	const length = 20 * time.Second
	for _, fl := range []fleet{{2, 6}, {2, 4}} {
		for _, f := range floods {
			scores := run(Floors{}, f, fl, length, 1)
			useful := time.Duration(0)
			for _, c := range scores {
				must.Zero(t, c.lost)
				useful += c.useful
			}
			confirmations, lookups := scores[rank.Confirmation], scores[rank.Lookup]
			must.GreaterEq(t, 0.95, share(useful, fl, length))
			if f.loads[rank.Upload] > 1 {
				must.GreaterEq(t, 0.999, float64(confirmations.within)/float64(confirmations.offered))
				must.GreaterEq(t, 0.99, float64(lookups.within)/float64(lookups.offered))
				continue
			}
			// A floor is paid in whole services, so the window may cut off a few of them.
			cut := time.Duration(fl.upstreams) * 4 * services[rank.Lookup]
			must.GreaterEq(t, 0.2, share(lookups.busy+cut, fl, length))
		}
	}
}

// BenchmarkFloods prints a table for each flood and fleet: policies against ranks.
func BenchmarkFloods(b *testing.B) {
	const length = 2 * time.Minute
	for _, fl := range []fleet{{30, 6}, {25, 4}} {
		for _, f := range floods {
			b.Run(fmt.Sprintf("%s/%dx%d", strings.ReplaceAll(f.name, " ", "-"), fl.upstreams, fl.slots), func(b *testing.B) {
				for b.Loop() {
					table(b, f, fl, length)
				}
			})
		}
	}
}

// table logs the outcome of one flood for all policies.
func table(b *testing.B, f flood, fl fleet, length time.Duration) {
	var out strings.Builder
	fmt.Fprintf(&out, "\n| policy | rank | offered | within target | refused | expired | late | lost | slot time %% | goodput %% |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range policies {
		scores := run(p, f, fl, length, 1)
		useful := time.Duration(0)
		for r, c := range scores {
			n := float64(c.offered) / 100
			useful += c.useful
			fmt.Fprintf(&out, "| %T | %v | %d | %.2f%% | %.2f%% | %.2f%% | %.3f%% | %d | %.2f | %.2f |\n", p, rank.Rank(r), c.offered,
				float64(c.within)/n, float64(c.refused)/n, float64(c.expired)/n, float64(c.late)/n, c.lost, 100*share(c.busy, fl, length), 100*share(c.useful, fl, length))
		}
		fmt.Fprintf(&out, "| %T | all | | | | | | | | %.1f |\n", p, 100*share(useful, fl, length))
	}
	b.Log(out.String())
}
