package controller

import "time"

// EvenPlanner balances the number of shards per upstream without regard to load.
type EvenPlanner struct{}

// Plan moves shards from the upstreams with the most shards to those with the fewest until the counts differ by at most
// one.
func (EvenPlanner) Plan(_ time.Time, v PlannerInput) []PlannedMove {
	if len(v.Shares) == 0 {
		return nil
	}
	counts := make([]int, len(v.Shares))
	taken := make([]int, len(v.Shares))
	for i, s := range v.Shares {
		counts[i] = len(s.Shards) + len(s.RecentlyMoved)
	}
	var moves []PlannedMove
	for len(moves) < maxPlannedMoves {
		low, high := 0, -1
		for i, s := range v.Shares {
			if counts[i] < counts[low] {
				low = i
			}
			if taken[i] < len(s.Shards) && (high < 0 || counts[i] > counts[high]) {
				high = i
			}
		}
		if high < 0 || counts[high]-counts[low] <= 1 {
			break
		}
		from := v.Shares[high]
		moves = append(moves, PlannedMove{Shard: from.Shards[len(from.Shards)-1-taken[high]], From: from.Upstream, To: v.Shares[low].Upstream})
		taken[high]++
		counts[high]--
		counts[low]++
	}
	return moves
}
