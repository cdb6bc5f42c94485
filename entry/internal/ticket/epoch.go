package ticket

import (
	"time"

	"bramleystand.org/common/fence"
)

// Epoch is a range of tickets of one lease, as handed over with a shard.
type Epoch struct {
	Fence fence.Fence
	// First is the lowest sequence of the range.
	First uint64
	// Next is the sequence after the highest of the range.
	Next uint64
	// Age is the time from the start of the lease to the handover.
	Age time.Duration
	// Remaining is the time from the handover until all tickets of the range have expired.
	Remaining time.Duration
}
