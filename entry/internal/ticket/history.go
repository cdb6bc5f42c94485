package ticket

import (
	"time"

	"bramleystand.org/common/fence"
)

// openEnd is the value of next in the epoch that still issues tickets.
const openEnd = ^uint64(0)

// localEpoch is a range of ticket sequence numbers of one lease, with times on the clock of the table that holds it.
// It is the local form of control.Epoch.
type localEpoch struct {
	fence       fence.Fence
	first, next uint64
	// leaseStart is when the lease of the epoch started. After a handover it is later than the real start by the
	// time that the handover took.
	leaseStart time.Time
	// expiredAt is when all tickets of a closed epoch have expired.
	expiredAt time.Time
}

// expiry returns when a ticket of the epoch expires.
func (e localEpoch) expiry(t Ticket) time.Time {
	return e.leaseStart.Add(time.Duration(t.Expiry) * time.Millisecond)
}

// history contains the epochs and operations of one shard.
type history struct {
	epochs     []localEpoch
	operations map[Ticket]*Operation
}

// epoch returns the epoch that covers a ticket. If there is none, the table does not know whether the ticket was run.
func (h *history) epoch(t Ticket) (localEpoch, bool) {
	for _, e := range h.epochs {
		if e.fence == t.Fence && e.first <= t.Sequence && t.Sequence < e.next {
			return e, true
		}
	}
	return localEpoch{}, false
}
