package ticket

import (
	"time"

	"bramleystand.org/common/fence"
)

// open is the Next of the epoch that still issues tickets.
const open = ^uint64(0)

// span is an epoch on the clock of the table that holds it.
type span struct {
	fence       fence.Fence
	first, next uint64
	// started is when the lease of the epoch started; a handover shifts it by its own travel time.
	started time.Time
	// until is when all tickets of a closed epoch have expired.
	until time.Time
}

// expiry returns when a ticket of the epoch expires.
func (s span) expiry(t Ticket) time.Time {
	return s.started.Add(time.Duration(t.Expiry) * time.Millisecond)
}

// history holds the epochs and operations of one shard.
type history struct {
	spans      []span
	operations map[Ticket]*Operation
}

// covering returns the epoch of a ticket; without one the fate of the ticket is not known.
func (h *history) covering(t Ticket) (span, bool) {
	for _, s := range h.spans {
		if s.fence == t.Fence && s.first <= t.Sequence && t.Sequence < s.next {
			return s, true
		}
	}
	return span{}, false
}
