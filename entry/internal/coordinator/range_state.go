package coordinator

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/ownership"
)

// rangeState is a range of keys with the servers that hold it and the one that it moves to.
type rangeState struct {
	keys     keyspace.Range
	holders  []*holder
	target   *holder
	handover string
	// generation is the first generation of the table that has the range in its current form. No
	// order for the move is sent before the store has it.
	generation uint64
	// propagatedAt is when entry VMs have read the move from the store and no longer send requests
	// to the holder.
	propagatedAt time.Time
}

// holder is a server that may hold the keys of a range.
type holder struct {
	server ownership.Server
	fence  fence.Fence
	// fenceAccepted is true once the server has accepted a fence of this term. From then on it
	// refuses the grants of earlier coordinators.
	fenceAccepted bool
	// connection is the number of the connection on which the server has accepted the latest fence, or
	// zero if it has not, or if that connection has ended. The next grant then needs a new fence.
	connection uint64
	// keysReleased is true once the server certainly no longer holds the keys.
	keysReleased bool
	// heldUntil is the time by which the last grant of this term has expired.
	heldUntil time.Time
	// inheritedUntil is the time by which all grants of earlier coordinators have expired. It is zero once the
	// server has accepted a fence of this term.
	inheritedUntil time.Time
	nextCall       time.Time
	callPending    bool
	// grantPending is true while the result of a grant is not known.
	grantPending bool
	// confirmed is true once the server has accepted a grant of the keys.
	confirmed bool
	// maybeGranted is true if an earlier coordinator may or may not have granted the keys to the
	// server. releaseAnswered is true once such a server has answered a release.
	maybeGranted, releaseAnswered bool
}

// mayHoldUntil returns the time by which all grants to the server have expired.
func (h *holder) mayHoldUntil() time.Time { return maxTime(h.heldUntil, h.inheritedUntil) }

// isStable reports whether the range has one holder and is not moving.
func (s *rangeState) isStable() bool { return s.target == nil && len(s.holders) == 1 }

// othersReleased reports whether all holders except one have released the keys or answered a
// release.
func (s *rangeState) othersReleased(except *holder) bool {
	for _, h := range s.holders {
		if h != except && !h.keysReleased && (!h.releaseAnswered || h.callPending) {
			return false
		}
	}
	return true
}

// splitAfter splits the range after a key. The range keeps the first part, and the second is
// returned.
func (s *rangeState) splitAfter(last keyspace.Key) *rangeState {
	rest := &rangeState{keys: keyspace.Range{First: last + 1, Last: s.keys.Last}, generation: s.generation, propagatedAt: s.propagatedAt}
	for _, h := range s.holders {
		c := *h
		rest.holders = append(rest.holders, &c)
	}
	if s.target != nil {
		c := *s.target
		rest.target = &c
	}
	rest.handover = s.handover
	s.keys.Last = last
	return rest
}

// assignment returns the range's entry in the ownership table.
func (s *rangeState) assignment() ownership.Assignment {
	a := ownership.Assignment{Range: s.keys}
	for _, h := range s.holders {
		a.Holders = append(a.Holders, h.server)
		a.Unconfirmed = a.Unconfirmed || !h.confirmed
	}
	if s.target != nil {
		target := s.target.server
		a.Target = &target
	}
	return a
}
