package coordinator

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/ownership"
)

// EventKind says what happened to a range of keys.
type EventKind string

// Kinds of events.
const (
	// EventMoving means that a move of the keys to the server has started.
	EventMoving EventKind = "moving"
	// EventGranted means that the server has accepted the keys.
	EventGranted EventKind = "granted"
	// EventReleased means that the server has released the keys.
	EventReleased EventKind = "released"
	// EventLapsed means that all grants of the keys to the server have expired.
	EventLapsed EventKind = "lapsed"
	// EventEnded means that the instance of the server that held the keys has ended.
	EventEnded EventKind = "ended"
)

// Event is a change in the ownership of a range of keys, for the log.
type Event struct {
	EventKind EventKind
	Keys      keyspace.Range
	Server    ownership.Server
	Fence     fence.Fence
	// From is the server that held the keys before a move, if there is one, and MoveReason says why
	// they are moved.
	From       ownership.Server
	MoveReason MoveReason
}

// MoveReason says why keys are moved.
type MoveReason string

// Reasons for a move.
const (
	// ReasonNoOwner means that no server holds the keys.
	ReasonNoOwner MoveReason = "no owner"
	// ReasonLeaving means that the owner's entry in the store marks it as draining.
	ReasonLeaving MoveReason = "owner is leaving"
	// ReasonNotRegistered means that the owner no longer has an entry in the store, or that another
	// instance has its ID.
	ReasonNotRegistered MoveReason = "owner is not registered"
	// ReasonSilent means that the owner does not answer the coordinator.
	ReasonSilent MoveReason = "owner does not answer"
	// ReasonLoad means that other servers have more free capacity.
	ReasonLoad MoveReason = "load"
)

// moveReason returns the reason for a move of the range at this time, and the server that holds the
// keys.
func (c *Coordinator) moveReason(now time.Time, s *rangeState) (MoveReason, ownership.Server) {
	h := s.target
	if h == nil && len(s.holders) > 0 {
		h = s.holders[0]
	}
	if h == nil {
		return ReasonNoOwner, ownership.Server{}
	}
	entry, registered := c.servers[h.server.Instance]
	switch {
	case !registered:
		return ReasonNotRegistered, h.server
	case entry.Draining:
		return ReasonLeaving, h.server
	case c.isSilent(now, h.server.Instance):
		return ReasonSilent, h.server
	}
	return ReasonLoad, h.server
}

// recordEvent keeps an event for the log.
func (c *Coordinator) recordEvent(e Event) { c.events = append(c.events, e) }

// Events returns the events since the last call.
func (c *Coordinator) Events() []Event {
	out := c.events
	c.events = nil
	return out
}
