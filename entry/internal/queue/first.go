package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// First serves requests in the order of their arrival. It is a baseline for experiments.
type First struct{}

// Next picks the rank of the oldest waiting request.
func (First) Next(v *View) (rank.Rank, bool) {
	if v.Free() <= 0 {
		return 0, false
	}
	next, found := rank.Rank(0), false
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 && (!found || v.Oldest[r] < v.Oldest[next]) {
			next, found = r, true
		}
	}
	return next, found
}

// Wait estimates the wait from all waiting work.
func (First) Wait(v *View, _ rank.Rank) time.Duration {
	work := time.Duration(0)
	for r := range rank.Rank(rank.Count) {
		work += v.ahead(r)
	}
	return over(work, float64(v.Slots))
}
