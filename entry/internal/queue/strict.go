package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Strict serves the most urgent waiting rank. It is a baseline for experiments.
type Strict struct{}

// Next picks the most urgent rank with waiting work.
func (Strict) Next(v *View) (rank.Rank, bool) {
	if v.Free() <= 0 {
		return 0, false
	}
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 {
			return r, true
		}
	}
	return 0, false
}

// Wait estimates the wait from the work of the rank and all more urgent ones.
func (Strict) Wait(v *View, r rank.Rank) time.Duration {
	work := time.Duration(0)
	for o := range r + 1 {
		work += v.ahead(o)
	}
	return over(work, float64(v.Slots))
}
