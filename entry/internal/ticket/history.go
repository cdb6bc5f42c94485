package ticket

import (
	"time"

	"bramleystand.org/common/fence"
)

// openEnd is the value of next in the ticket range that still issues tickets.
const openEnd = ^uint64(0)

// localTicketRange is a range of ticket sequence numbers of one lease, with times on the clock of the table that holds it.
// It is the local form of control.TicketRange.
type localTicketRange struct {
	fence       fence.Fence
	first, next uint64
	// leaseStart is when the lease of the range started. After a handover it is later than the real start by the
	// time that the handover took.
	leaseStart time.Time
	// expiredAt is when all tickets of a closed range have expired.
	expiredAt time.Time
}

// expiry returns when a ticket of the range expires.
func (e localTicketRange) expiry(t Ticket) time.Time {
	return e.leaseStart.Add(time.Duration(t.Expiry) * time.Millisecond)
}

// history contains the ticket ranges and operations of one shard.
type history struct {
	ticketRanges []localTicketRange
	operations   map[Ticket]*Operation
}

// ticketRange returns the range that covers a ticket. If there is none, the table does not know whether the ticket was run.
func (h *history) ticketRange(t Ticket) (localTicketRange, bool) {
	for _, e := range h.ticketRanges {
		if e.fence == t.Fence && e.first <= t.Sequence && t.Sequence < e.next {
			return e, true
		}
	}
	return localTicketRange{}, false
}
