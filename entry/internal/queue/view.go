package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// View is what a policy decides on: the slots, the lines and the limits of the preset.
type View struct {
	Slots   int
	Running [rank.Count]int
	Waiting [rank.Count]int
	// Oldest is the arrival number of the first waiting request of each rank.
	Oldest [rank.Count]uint64
	// Recent tells which ranks had work in the last second.
	Recent [rank.Count]bool
	// Mean is the mean service time, zero before the first sample.
	Mean [rank.Count]time.Duration
	// Floor is the number of slots that a rank keeps while it has work.
	Floor [rank.Count]float64
	// Cap is the largest number of slots that a rank may use at once.
	Cap [rank.Count]int
	// Kept is the number of slots that uploads leave to the other ranks while those have work.
	Kept int
	// Deficit is the slot time in seconds by which a waiting rank is short of its floor.
	Deficit [rank.Count]float64
}

// Free returns the number of idle slots.
func (v *View) Free() int {
	n := v.Slots
	for _, r := range v.Running {
		n -= r
	}
	return n
}

// ahead returns the service time of all requests that wait in a rank.
func (v *View) ahead(r rank.Rank) time.Duration {
	return time.Duration(v.Waiting[r]) * v.Mean[r]
}

// over returns the time in which slots do the work, and a long time if there are none.
func over(work time.Duration, slots float64) time.Duration {
	if work == 0 {
		return 0
	}
	if slots <= 0 {
		return time.Hour
	}
	return time.Duration(float64(work) / slots)
}
