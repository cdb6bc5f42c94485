package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// PolicyView is the input of a Policy: the use of the slots, the waiting requests and the limits of each rank.
type PolicyView struct {
	Slots   int
	Running [rank.Count]int
	Waiting [rank.Count]int
	// OldestArrival is the arrival number of the first waiting request of each rank.
	OldestArrival [rank.Count]uint64
	// RecentlyActive tells which ranks had work within the last second (activityWindow).
	RecentlyActive [rank.Count]bool
	// Mean is the mean service time, zero before the first sample.
	Mean [rank.Count]time.Duration
	// Floor is the number of slots that is guaranteed to a rank while it has work.
	Floor [rank.Count]float64
	// Cap is the largest number of slots that a rank may use at once.
	Cap [rank.Count]int
	// ReservedSlots is the number of slots that uploads leave to the other ranks while those have work.
	ReservedSlots int
	// Deficit is the slot time in seconds by which a waiting rank is short of its floor; it is negative if
	// the rank has used more.
	Deficit [rank.Count]float64
}

// IdleSlots returns the number of slots in which no request runs. It is negative if more requests run
// than there are slots.
func (v *PolicyView) IdleSlots() int {
	n := v.Slots
	for _, r := range v.Running {
		n -= r
	}
	return n
}

// waitingWork returns the expected service time of all waiting requests of a rank.
func (v *PolicyView) waitingWork(r rank.Rank) time.Duration {
	return time.Duration(v.Waiting[r]) * v.Mean[r]
}

// timeToComplete returns the time in which the slots complete the work, or an hour if there are no slots.
func timeToComplete(work time.Duration, slots float64) time.Duration {
	if work == 0 {
		return 0
	}
	if slots <= 0 {
		return time.Hour
	}
	return time.Duration(float64(work) / slots)
}
