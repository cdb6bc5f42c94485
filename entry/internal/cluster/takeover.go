package cluster

import "time"

const (
	// longestTakeoverDelay is how much later a small VM takes a free lock than a large one: more than the
	// jitter and a slow answer of the store together, and far below the hold of a grant.
	longestTakeoverDelay = 300 * time.Millisecond
	// smallPart is the part of the largest VM's processor below which a VM counts as small.
	smallPart = 0.5
	// roomyCores is the processor time, in cores, with which a VM takes the lock at once while it
	// knows no other.
	roomyCores = 0.5
)

// takeoverDelay returns how much later than others a process takes the lock, by its own processor
// time and the largest of the others, which is zero if none is known. The coordinator's work grows
// with the number of servers: at 400 of them it takes a third of a core, twice as much as the
// smallest VMs of such a deployment have.
func takeoverDelay(own, largest float64) time.Duration {
	if largest == 0 {
		largest = roomyCores
		if own >= largest {
			return 0
		}
		return time.Duration((1 - own/largest) * float64(longestTakeoverDelay))
	}
	if own < smallPart*largest {
		return longestTakeoverDelay
	}
	return 0
}
