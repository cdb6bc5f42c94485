package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Shares gives each rank a fixed part of the slots, in proportion to the floors. It is a baseline for experiments.
type Shares struct{}

// Next picks the most urgent waiting rank that uses less than its share.
func (Shares) Next(v *View) (rank.Rank, bool) {
	if v.Free() <= 0 {
		return 0, false
	}
	s := shares(v)
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] > 0 && v.Running[r] < s[r] {
			return r, true
		}
	}
	return 0, false
}

// Wait estimates the wait from the work of the rank alone.
func (Shares) Wait(v *View, r rank.Rank) time.Duration {
	return over(v.ahead(r), float64(shares(v)[r]))
}

// shares divides the slots by the floors with the largest remainder method, at least one for each rank.
func shares(v *View) [rank.Count]int {
	var s [rank.Count]int
	total := 0.0
	for _, f := range v.Floor {
		total += max(f, 0.01)
	}
	left := v.Slots
	for r, f := range v.Floor {
		s[r] = max(1, int(max(f, 0.01)/total*float64(v.Slots)))
		left -= s[r]
	}
	for ; left > 0; left-- {
		most := 0
		for r, f := range v.Floor {
			if f/total*float64(v.Slots)-float64(s[r]) > v.Floor[most]/total*float64(v.Slots)-float64(s[most]) {
				most = r
			}
		}
		s[most]++
	}
	return s
}
