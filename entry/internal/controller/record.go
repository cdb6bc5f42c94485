package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// record is the succession record as this process knows it, with a write whose outcome is unknown.
type record struct {
	known control.Succession
	// While a member change is unsettled, a majority of both the newer and the former members is needed. settled says that
	// only the newer members count, membersLost that only the former ones do.
	settled     bool
	membersLost bool
	// adoptedAt is when this record was learned, foundedAt when the first record since the last reset was.
	adoptedAt time.Time
	foundedAt time.Time
	// pending is a write whose outcome is unknown. Until it is known, a majority of its members is needed as well,
	// unless the write resets the record.
	pending         *control.Succession
	expectedVersion int64
	inFlight        bool
	loading         bool
	// absent says that the platform has no record.
	absent  bool
	retryAt time.Time
}

// memberSets returns the sets of members in force. A decision needs a majority of each.
func (r *record) memberSets() [][]control.Member {
	var memberSets [][]control.Member
	if !r.membersLost {
		memberSets = append(memberSets, r.known.Members)
	}
	if !r.settled {
		memberSets = append(memberSets, r.known.Former)
	}
	if r.pending != nil && !r.resetInDoubt() {
		memberSets = append(memberSets, r.pending.Members)
	}
	return memberSets
}

// resetInDoubt reports whether this process has tried to reset the record and the
// outcome is unknown. Until it is known, this process must not help any process to
// act by the previous record.
func (r *record) resetInDoubt() bool {
	return r.pending != nil && r.pending.Founded != r.known.Founded
}

// includes reports whether a process is a newer or a former member. A former member
// still has to acknowledge the record after it has learned that the change is settled.
func (r *record) includes(m control.Member) bool {
	return slices.ContainsFunc(r.known.Members, m.Same) || slices.ContainsFunc(r.known.Former, m.Same)
}

// memberIndex returns the position of a member in the record, counting the newer members first.
func (r *record) memberIndex(m control.Member) int {
	if i := slices.IndexFunc(r.known.Members, m.Same); i >= 0 {
		return i
	}
	return len(r.known.Members) + slices.IndexFunc(r.known.Former, m.Same)
}

// currentMembers returns the former members if too many of the newer ones are lost for a majority, and the newer ones
// otherwise.
func (r *record) currentMembers() []control.Member {
	if r.membersLost {
		return r.known.Former
	}
	return r.known.Members
}

// adopt replaces the record with a newer one.
func (r *record) adopt(now time.Time, s control.Succession) {
	if s.Founded != r.known.Founded {
		r.foundedAt = now
	}
	r.known = s
	r.adoptedAt = now
	r.settled = len(s.Former) == 0
	r.membersLost = false
	r.absent = false
	if s.Version > r.expectedVersion {
		r.pending = nil
	}
}

// sameSet reports whether both lists hold the same processes in any order.
func sameSet(a, b []control.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.ContainsFunc(b, m.Same) {
			return false
		}
	}
	return true
}
