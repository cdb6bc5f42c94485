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
	meanServiceTimes = [rank.Count]time.Duration{20 * time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond}
	latencyTargets   = [rank.Count]time.Duration{time.Second, 300 * time.Millisecond, time.Minute}
	rankLimits       = [rank.Count]configuration.RankLimit{
		{Floor: 40, Cap: 100, Queue: 1000, Timeout: latencyTargets[0]},
		{Floor: 20, Cap: 100, Queue: 500, Timeout: latencyTargets[1]},
		{Floor: 10, Cap: 85, Queue: 200, Timeout: latencyTargets[2]},
	}
	policies = []Policy{FloorPolicy{}, FIFOPolicy{}, StrictPriorityPolicy{}, FixedSharePolicy{}}
)

// fleet is a number of upstreams with the same number of slots each.
type fleet struct{ upstreams, slots int }

// flood is an overload. loads is the offered load of each rank as a multiple of the slots.
type flood struct {
	name  string
	loads [rank.Count]float64
}

var floods = []flood{
	{"upload flood", [rank.Count]float64{0.15, 0.15, 5}},
	{"confirmation flood", [rank.Count]float64{3, 0.3, 0.3}},
}

// rankResult counts the requests of one rank by outcome. busy is the slot time of all of them, usefulBusy that
// of the requests that were complete within their target.
type rankResult struct {
	offered, withinTarget, refused, expired, late, lost int
	busy, usefulBusy                                    time.Duration
}

// simulatedRequest is an admitted request; endsAt is set when it starts.
type simulatedRequest struct {
	endsAt      time.Time
	slot        *Slot
	serviceTime time.Duration
}

// warmUp is the time in which the queues fill; slot time before its end is not counted.
const warmUp = time.Second

// overlap returns the part of the period from..to that lies between first and last.
func overlap(from, to, first, last time.Time) time.Duration {
	if from.Before(first) {
		from = first
	}
	if to.After(last) {
		to = last
	}
	return max(0, to.Sub(from))
}

// simulate runs a flood on one upstream in simulated time; arrivals and service times depend on the seed alone.
func simulate(policy Policy, f flood, slots int, length time.Duration, seed uint64) [rank.Count]rankResult {
	const tick = 100 * time.Millisecond
	start := time.Unix(0, 0)
	s := newScheduler(slots, policy, start)
	s.setLimits(rankLimits)
	var results [rank.Count]rankResult
	var random [rank.Count]*rand.Rand
	var arrival [rank.Count]time.Time
	interarrival := func(r rank.Rank) time.Duration {
		return time.Duration(random[r].ExpFloat64() * float64(meanServiceTimes[r]) / f.loads[r] / float64(slots))
	}
	for r := range rank.Rank(rank.Count) {
		random[r] = rand.New(rand.NewPCG(seed, uint64(r)))
		arrival[r] = start.Add(interarrival(r))
	}
	var inService []simulatedRequest
	var pending [rank.Count][]simulatedRequest
	end, nextTick := start.Add(length), start
	processDispatched := func(now time.Time) {
		for r := range pending {
			for len(pending[r]) > 0 && pending[r][0].slot.phase != waiting {
				p := pending[r][0]
				pending[r] = pending[r][1:]
				if p.slot.phase == refused {
					results[r].expired++
					continue
				}
				p.endsAt = now.Add(p.serviceTime)
				results[r].busy += overlap(now, p.endsAt, start.Add(warmUp), end)
				index, _ := slices.BinarySearchFunc(inService, p, func(a, b simulatedRequest) int { return a.endsAt.Compare(b.endsAt) })
				inService = slices.Insert(inService, index, p)
			}
		}
	}
	for now := start; now.Before(end) || len(inService) > 0 || !s.isIdle(); {
		next := rank.Rank(0)
		for r := range rank.Rank(rank.Count) {
			if arrival[r].Before(arrival[next]) {
				next = r
			}
		}
		switch {
		case len(inService) > 0 && inService[0].endsAt.Before(arrival[next]) && inService[0].endsAt.Before(nextTick):
			e := inService[0]
			inService = inService[1:]
			now = e.endsAt
			rankResult := &results[e.slot.request.Rank]
			onTime := !now.After(e.slot.request.Deadline)
			if onTime {
				rankResult.withinTarget++
			} else {
				rankResult.late++
			}
			if onTime {
				rankResult.usefulBusy += overlap(now.Add(-e.serviceTime), now, start.Add(warmUp), end)
			}
			s.finish(now, e.slot, e.serviceTime)
			s.dispatch(now)
		case nextTick.Before(arrival[next]):
			now = nextTick
			nextTick = nextTick.Add(tick)
			s.refuseOverdue(now)
			s.dispatch(now)
		default:
			now = arrival[next]
			serviceTime := time.Duration(random[next].ExpFloat64() * float64(meanServiceTimes[next]))
			arrival[next] = now.Add(interarrival(next))
			if !arrival[next].Before(end) {
				arrival[next] = end.Add(24 * time.Hour)
			}
			results[next].offered++
			slot := &Slot{request: Request{Rank: next, Deadline: now.Add(latencyTargets[next])}}
			if s.admit(now, slot) != nil {
				results[next].refused++
				continue
			}
			pending[next] = append(pending[next], simulatedRequest{slot: slot, serviceTime: serviceTime})
			s.dispatch(now)
		}
		processDispatched(now)
	}
	for r := range results {
		counts := &results[r]
		counts.lost = counts.offered - counts.withinTarget - counts.refused - counts.expired - counts.late
	}
	return results
}

// simulateFleet simulates a flood on a whole fleet and returns the sums.
func simulateFleet(policy Policy, f flood, fl fleet, length time.Duration, seed uint64) [rank.Count]rankResult {
	var total [rank.Count]rankResult
	for i := range fl.upstreams {
		for r, c := range simulate(policy, f, fl.slots, length, seed+uint64(i)) {
			t := &total[r]
			t.offered += c.offered
			t.withinTarget += c.withinTarget
			t.refused += c.refused
			t.expired += c.expired
			t.late += c.late
			t.lost += c.lost
			t.busy += c.busy
			t.usefulBusy += c.usefulBusy
		}
	}
	return total
}

// slotTimeShare returns slot time as a part of all slot time of the fleet after the warm-up.
func slotTimeShare(useful time.Duration, fl fleet, length time.Duration) float64 {
	return useful.Seconds() / ((length - warmUp).Seconds() * float64(fl.upstreams*fl.slots))
}

// Guards against a flood of one rank that keeps the others from their targets or floors, and against slot time
// spent on requests that miss their deadline.
func TestFloods(t *testing.T) {
	const length = 20 * time.Second
	for _, fl := range []fleet{{2, 6}, {2, 4}} {
		for _, f := range floods {
			results := simulateFleet(FloorPolicy{}, f, fl, length, 1)
			useful := time.Duration(0)
			for _, c := range results {
				must.Zero(t, c.lost)
				useful += c.usefulBusy
			}
			confirmations, lookups := results[rank.Confirmation], results[rank.Lookup]
			must.GreaterEq(t, 0.95, slotTimeShare(useful, fl, length))
			if f.loads[rank.Upload] > 1 {
				must.GreaterEq(t, 0.999, float64(confirmations.withinTarget)/float64(confirmations.offered))
				must.GreaterEq(t, 0.99, float64(lookups.withinTarget)/float64(lookups.offered))
				continue
			}
			// A rank uses its floor in whole requests, so the end of the measured time may cut off a few of them.
			tolerance := time.Duration(fl.upstreams) * 4 * meanServiceTimes[rank.Lookup]
			must.GreaterEq(t, 0.2, slotTimeShare(lookups.busy+tolerance, fl, length))
		}
	}
}

// BenchmarkFloods logs a table for each flood and fleet that compares the policies by rank.
func BenchmarkFloods(b *testing.B) {
	const length = 2 * time.Minute
	for _, fl := range []fleet{{30, 6}, {25, 4}} {
		for _, f := range floods {
			b.Run(fmt.Sprintf("%s/%dx%d", strings.ReplaceAll(f.name, " ", "-"), fl.upstreams, fl.slots), func(b *testing.B) {
				for b.Loop() {
					logTable(b, f, fl, length)
				}
			})
		}
	}
}

// logTable logs the results of one flood for all policies as a Markdown table.
func logTable(b *testing.B, f flood, fl fleet, length time.Duration) {
	var out strings.Builder
	fmt.Fprintf(&out, "\n| policy | rank | offered | within target | refused | expired | late | lost | slot time %% | goodput %% |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range policies {
		results := simulateFleet(p, f, fl, length, 1)
		useful := time.Duration(0)
		for r, c := range results {
			n := float64(c.offered) / 100
			useful += c.usefulBusy
			fmt.Fprintf(&out, "| %T | %v | %d | %.2f%% | %.2f%% | %.2f%% | %.3f%% | %d | %.2f | %.2f |\n", p, rank.Rank(r), c.offered,
				float64(c.withinTarget)/n, float64(c.refused)/n, float64(c.expired)/n, float64(c.late)/n, c.lost, 100*slotTimeShare(c.busy, fl, length), 100*slotTimeShare(c.usefulBusy, fl, length))
		}
		fmt.Fprintf(&out, "| %T | all | | | | | | | | %.1f |\n", p, 100*slotTimeShare(useful, fl, length))
	}
	b.Log(out.String())
}
