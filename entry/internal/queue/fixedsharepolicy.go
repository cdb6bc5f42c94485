package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// FixedSharePolicy gives each rank a fixed part of the slots, in proportion to the floors. It is a baseline for
// experiments.
type FixedSharePolicy struct{}

// Next returns the most urgent waiting rank that uses less than its share.
func (FixedSharePolicy) Next(v *PolicyView) (rank.Rank, bool) {
	if v.IdleSlots() <= 0 {
		return 0, false
	}
	share := slotShares(v)
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 && v.Running[r] < share[r] {
			return r, true
		}
	}
	return 0, false
}

// Wait estimates the wait from the waiting work of the rank alone.
func (FixedSharePolicy) Wait(v *PolicyView, r rank.Rank) time.Duration {
	return timeToComplete(v.waitingWork(r), float64(slotShares(v)[r]))
}

// slotShares divides the slots in proportion to the floors by the largest remainder method; each rank gets at
// least one.
func slotShares(v *PolicyView) [rank.Count]int {
	var share [rank.Count]int
	total := 0.0
	for _, f := range v.Floor {
		total += max(f, 0.01)
	}
	remaining := v.Slots
	for r, f := range v.Floor {
		share[r] = max(1, int(max(f, 0.01)/total*float64(v.Slots)))
		remaining -= share[r]
	}
	for ; remaining > 0; remaining-- {
		neediest := 0
		for r, f := range v.Floor {
			if f/total*float64(v.Slots)-float64(share[r]) > v.Floor[neediest]/total*float64(v.Slots)-float64(share[neediest]) {
				neediest = r
			}
		}
		share[neediest]++
	}
	return share
}
