package queue

import (
	"math"
	"time"

	"bramleystand.org/common/rank"
)

const (
	// maxReserved is the largest number of slots that uploads leave to the other ranks. An upload holds
	// a slot for many times the service time of a confirmation, so that with too few reserved slots
	// confirmations and lookups wait for each other.
	maxReserved = 2
	// minReserved is the smallest number of slots reserved while the other ranks have work.
	minReserved = 1
	// reserveFactor is the reserve for confirmations and lookups as a multiple of the slots that they
	// use on average. With 1, lookups miss their target more often; with 1.2, slots stay idle; see
	// docs/policy.md.
	reserveFactor = 1.05
	// reserveWindow is the time constant of the exponential average of used slots.
	reserveWindow = 2 * time.Second
	// maxCredit limits the accumulated slot time, in seconds, in either direction, so that uploads
	// do not occupy a reserved slot for long after a time of low load.
	maxCredit = 0.5
)

// uploadReserve decides how many slots uploads leave to the other ranks. The wanted reserve is rarely
// a whole number, so it is met on average over time: uploads may use the last reserved slot for part
// of the time, and credit is the slot time in seconds for which they may still use it.
type uploadReserve struct {
	averageUse float64
	credit     float64
}

// accumulateTime adds a period, in seconds, in which the numbers of running requests did not change.
func (r *uploadReserve) accumulateTime(v *PolicyView, elapsed float64) {
	inUse := float64(v.Running[rank.Confirmation] + v.Running[rank.Lookup])
	r.averageUse += (inUse - r.averageUse) * (1 - math.Exp(-elapsed/reserveWindow.Seconds()))
	creditRate := maxReserved - min(max(r.averageUse*reserveFactor, minReserved), maxReserved)
	if v.Running[rank.Upload] > v.Slots-maxReserved {
		creditRate--
	}
	r.credit = min(max(r.credit+creditRate*elapsed, -maxCredit), maxCredit)
}

// reservedSlots returns the number of slots that uploads must leave to the other ranks now.
func (r *uploadReserve) reservedSlots() int {
	if r.credit > 0 {
		return minReserved
	}
	return maxReserved
}
