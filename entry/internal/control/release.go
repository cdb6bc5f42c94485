package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Release reports to the controller that the reporting lease no longer uses a shard, and
// carries the state that the next leaseholder of the shard needs.
type Release struct {
	Shard shard.Shard
	// ReleasedFence is the fence of the lease that released the shard.
	ReleasedFence fence.Fence
	// TicketRanges lists the ticket ranges that Records covers. An unexpired ticket of the shard that
	// is in one of the ranges and has no record has not been run.
	TicketRanges []TicketRange
	Records      []Record
}
