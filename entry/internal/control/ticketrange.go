package control

import (
	"time"

	"bramleystand.org/common/fence"
)

// TicketRange is a range of ticket sequence numbers that were issued under one lease. Ticket ranges are
// handed over with a shard.
type TicketRange struct {
	Fence fence.Fence
	// First is the lowest sequence number of the range, Next is one more than the highest.
	First uint64
	Next  uint64
	// Age is the time from the start of the lease to the handover.
	Age time.Duration
	// Remaining is the time from the handover until all tickets in the range have expired.
	Remaining time.Duration
}
