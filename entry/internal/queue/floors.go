package queue

import (
	"math"
	"time"

	"bramleystand.org/common/rank"
)

// Floors serves ranks below their floor first, then by urgency, within caps.
type Floors struct{}

// Next picks the waiting rank with the largest deficit, or the most urgent one if no rank is short of its floor.
func (Floors) Next(v *View) (rank.Rank, bool) {
	if v.Free() <= 0 {
		return 0, false
	}
	next, found, most := rank.Rank(0), false, 0.0
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] == 0 || v.Running[r] >= limit(v, r) {
			continue
		}
		if !found || v.Deficit[r] > most {
			next, found, most = r, true, max(v.Deficit[r], 0)
		}
	}
	return next, found
}

// Wait estimates the wait from the work of the rank. While more urgent work waits, only the floor
// counts: how much more urgent work will come is not known, and an accepted upload should be served.
func (Floors) Wait(v *View, r rank.Rank) time.Duration {
	if v.Free() > 0 && v.Waiting[r] == 0 && v.Running[r] < limit(v, r) {
		return 0
	}
	work, slots := v.ahead(r), float64(v.Slots)
	for o := range rank.Rank(rank.Count) {
		switch {
		case o < r:
			work += v.ahead(o)
		case o > r && v.Waiting[o] > 0:
			slots -= max(float64(v.Running[o]), v.Floor[o])
		}
	}
	if work > v.ahead(r) && v.Floor[r] > 0 {
		return over(v.ahead(r), v.Floor[r])
	}
	return over(work, min(max(slots, v.Floor[r], 1), float64(limit(v, r))))
}

// limit returns how many slots the rank may use at once.
func limit(v *View, r rank.Rank) int {
	if r == rank.Upload && (v.Recent[rank.Confirmation] || v.Recent[rank.Lookup]) {
		return min(v.Cap[r], max(v.Slots-v.Kept, 1))
	}
	return v.Cap[r]
}

// capSlots converts a cap in percent to slots; a cap above zero allows at least one slot.
func capSlots(percent, slots int) int {
	if percent <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(percent*slots)/100)))
}
