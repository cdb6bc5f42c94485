package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// FIFOPolicy serves requests in the order of their arrival, whatever their rank. It is a baseline for experiments.
type FIFOPolicy struct{}

// Next returns the rank of the oldest waiting request.
func (FIFOPolicy) Next(v *PolicyView) (rank.Rank, bool) {
	if v.IdleSlots() <= 0 {
		return 0, false
	}
	next, found := rank.Rank(0), false
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 && (!found || v.OldestArrival[r] < v.OldestArrival[next]) {
			next, found = r, true
		}
	}
	return next, found
}

// Wait estimates the wait from the waiting work of all ranks.
func (FIFOPolicy) Wait(v *PolicyView, _ rank.Rank) time.Duration {
	work := time.Duration(0)
	for r := range rank.Rank(rank.Count) {
		work += v.waitingWork(r)
	}
	return timeToComplete(work, float64(v.Slots))
}
