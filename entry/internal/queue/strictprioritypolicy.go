package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// StrictPriorityPolicy always serves the most urgent waiting rank. It is a baseline for experiments.
type StrictPriorityPolicy struct{}

// Next returns the most urgent rank with waiting requests.
func (StrictPriorityPolicy) Next(v *PolicyView) (rank.Rank, bool) {
	if v.IdleSlots() <= 0 {
		return 0, false
	}
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 {
			return r, true
		}
	}
	return 0, false
}

// Wait estimates the wait from the waiting work of the rank and of all more urgent ones.
func (StrictPriorityPolicy) Wait(v *PolicyView, r rank.Rank) time.Duration {
	work := time.Duration(0)
	for o := range r + 1 {
		work += v.waitingWork(o)
	}
	return timeToComplete(work, float64(v.Slots))
}
