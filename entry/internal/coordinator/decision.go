package coordinator

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/ownership"
)

// What says what happened to a range of keys.
type What string

// What can happen to keys.
const (
	// Moving means that the keys are to go to the server.
	Moving What = "moving"
	// Granted means that the server has taken the keys.
	Granted What = "granted"
	// Released means that the server has given the keys up.
	Released What = "released"
	// Lapsed means that all grants to the server have run out.
	Lapsed What = "lapsed"
	// Ended means that the process of the server has ended.
	Ended What = "ended"
)

// Decision is a step in the life of a range of keys, for the log.
type Decision struct {
	What   What
	Keys   keyspace.Range
	Server ownership.Server
	Fence  fence.Fence
	// From is the server that the keys are moved away from, if there is one, and Cause why.
	From  ownership.Server
	Cause Cause
}

// Cause says why keys are moved.
type Cause string

// The causes of a move.
const (
	// Unowned keys are held by nobody.
	Unowned Cause = "no owner"
	// Leaving means that the owner's entry in the store says that it ends.
	Leaving Cause = "owner is leaving"
	// Gone means that the owner has no entry in the store any more, or another process has its name.
	Gone Cause = "owner is not registered"
	// Silent means that the owner does not answer the coordinator.
	Silent Cause = "owner does not answer"
	// Load means that other servers have more room.
	Load Cause = "load"
)

// cause returns why the keys of a share would be moved now, and the server that holds them.
func (c *Coordinator) cause(now time.Time, s *share) (Cause, ownership.Server) {
	h := s.target
	if h == nil && len(s.holders) > 0 {
		h = s.holders[0]
	}
	if h == nil {
		return Unowned, ownership.Server{}
	}
	entry, registered := c.servers[h.server.Life]
	switch {
	case !registered:
		return Gone, h.server
	case entry.Draining:
		return Leaving, h.server
	case c.silent(now, h.server.Life):
		return Silent, h.server
	}
	return Load, h.server
}

// decide keeps a decision for the log.
func (c *Coordinator) decide(d Decision) { c.decisions = append(c.decisions, d) }

// Decisions returns the decisions since the last call.
func (c *Coordinator) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}
