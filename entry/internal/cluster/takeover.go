package cluster

import "time"

const (
	// maxTakeoverDelay is how much later a small VM takes a free lock than a large one. It is
	// longer than the jitter and a slow response of the store together, and far below the time for
	// which a grant lasts.
	maxTakeoverDelay = 300 * time.Millisecond
	// smallVMFraction is the fraction of the largest VM's processor time below which a VM counts as
	// small.
	smallVMFraction = 0.5
	// smallVMTerm is how long a small VM keeps the coordinator's role at least, so that it does not give
	// it up to a large one that is about to stop too.
	smallVMTerm = 3 * time.Second
	// largeVMCores is the processor time, in cores, from which a VM takes the lock at once while it
	// knows no other VM.
	largeVMCores = 0.5
)

// takeoverDelay returns how much later than others a process takes the lock, by its own processor
// time and the largest of the others, which is zero if none is known. The coordinator's work grows
// with the number of servers: with 400 servers it takes a third of a core, twice as much as the
// smallest VMs of such a deployment have.
func takeoverDelay(own, largest float64) time.Duration {
	if largest == 0 {
		largest = largeVMCores
		if own >= largest {
			return 0
		}
		return time.Duration((1 - own/largest) * float64(maxTakeoverDelay))
	}
	if own < smallVMFraction*largest {
		return maxTakeoverDelay
	}
	return 0
}
