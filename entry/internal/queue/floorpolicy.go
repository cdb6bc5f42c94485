package queue

import (
	"math"
	"time"

	"bramleystand.org/common/rank"
)

// FloorPolicy serves ranks that are short of their floor first and the others by urgency. A rank
// that uses as many slots as its cap starts no request.
type FloorPolicy struct{}

// Next returns the waiting rank with the largest deficit, or the most urgent one if no rank is short of its floor.
func (FloorPolicy) Next(v *PolicyView) (rank.Rank, bool) {
	if v.IdleSlots() <= 0 {
		return 0, false
	}
	next, found, largest := rank.Rank(0), false, 0.0
	for r := range rank.Rank(rank.Count) {
		if v.Waiting[r] == 0 || v.Running[r] >= maxRunning(v, r) {
			continue
		}
		if !found || v.Deficit[r] > largest {
			next, found, largest = r, true, max(v.Deficit[r], 0)
		}
	}
	return next, found
}

// Wait estimates the wait from the waiting work of the rank and of more urgent ones. While more urgent
// work waits, a rank with a floor can rely only on its floor, because it is not known how much more
// urgent work will come, and an accepted upload should be served.
func (FloorPolicy) Wait(v *PolicyView, r rank.Rank) time.Duration {
	if v.IdleSlots() > 0 && v.Waiting[r] == 0 && v.Running[r] < maxRunning(v, r) {
		return 0
	}
	work, slots := v.waitingWork(r), float64(v.Slots)
	for o := range rank.Rank(rank.Count) {
		switch {
		case o < r:
			work += v.waitingWork(o)
		case o > r && v.Waiting[o] > 0:
			slots -= max(float64(v.Running[o]), v.Floor[o])
		}
	}
	if work > v.waitingWork(r) && v.Floor[r] > 0 {
		return timeToComplete(v.waitingWork(r), v.Floor[r])
	}
	return timeToComplete(work, min(max(slots, v.Floor[r], 1), float64(maxRunning(v, r))))
}

// maxRunning returns how many slots the rank may use at once: its cap and, for uploads while the other
// ranks are active, at most what the reserve leaves.
func maxRunning(v *PolicyView, r rank.Rank) int {
	if r == rank.Upload && (v.RecentlyActive[rank.Confirmation] || v.RecentlyActive[rank.Lookup]) {
		return min(v.Cap[r], max(v.Slots-v.ReservedSlots, 1))
	}
	return v.Cap[r]
}

// capSlots converts a cap from percent to slots; a cap above zero allows at least one slot.
func capSlots(percent, slots int) int {
	if percent <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(percent*slots)/100)))
}
