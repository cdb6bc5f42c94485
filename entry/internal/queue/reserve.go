package queue

import (
	"math"
	"time"

	"bramleystand.org/common/rank"
)

const (
	// mostKept is the largest number of slots that uploads leave to the other ranks. An upload holds
	// a slot for many times the service time of a confirmation, so that with too few kept slots
	// confirmations and lookups wait for each other.
	mostKept = 2
	// leastKept is the smallest number of slots kept while the other ranks have work.
	leastKept = 1
	// reserveFactor times the slots that confirmations and lookups use on average is kept for them.
	// With 1 lookups miss their target more often, with 1.2 slots stay idle; see docs/policy.md.
	reserveFactor = 1.05
	// reserveWindow is the time over which the use is averaged.
	reserveWindow = 2 * time.Second
	// creditBound bounds the collected slot time, so that a quiet time doesn't let uploads take the
	// kept slots for long.
	creditBound = 0.5
)

// reserve decides how many slots uploads leave to the other ranks. The reserve is a fraction of a
// slot more or less than a whole number: uploads may use the last kept slot for the rest of the time.
type reserve struct {
	used   float64
	credit float64
}

// account includes a time in which the numbers of running requests did not change.
func (r *reserve) account(v *View, passed float64) {
	urgent := float64(v.Running[rank.Confirmation] + v.Running[rank.Lookup])
	r.used += (urgent - r.used) * (1 - math.Exp(-passed/reserveWindow.Seconds()))
	gain := mostKept - min(max(r.used*reserveFactor, leastKept), mostKept)
	if v.Running[rank.Upload] > v.Slots-mostKept {
		gain--
	}
	r.credit = min(max(r.credit+gain*passed, -creditBound), creditBound)
}

// kept returns the number of slots that uploads leave now.
func (r *reserve) kept() int {
	if r.credit > 0 {
		return leastKept
	}
	return mostKept
}
