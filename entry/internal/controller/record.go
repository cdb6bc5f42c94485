package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// record is the succession record as known here, with a write that is in doubt.
type record struct {
	known control.Succession
	// settled is true if only the newer members count, void if only the former ones do.
	settled bool
	void    bool
	// adopted is when the record was learned, founded when the first of its line was.
	adopted time.Time
	founded time.Time
	// pending is a write whose outcome is not known; its members count as well until it is.
	pending  *control.Succession
	expected int64
	inFlight bool
	loading  bool
	absent   bool
	retry    time.Time
}

// sets returns the sets of members of each of which a majority is needed.
func (r *record) sets() [][]control.Member {
	var sets [][]control.Member
	if !r.void {
		sets = append(sets, r.known.Members)
	}
	if !r.settled {
		sets = append(sets, r.known.Former)
	}
	if r.pending != nil && !r.founding() {
		sets = append(sets, r.pending.Members)
	}
	return sets
}

// founding reports whether a reset of the record is in doubt. Until it is known,
// this process must not help anyone to act by the former record.
func (r *record) founding() bool {
	return r.pending != nil && r.pending.Founded != r.known.Founded
}

// lists reports whether a process is in either set. A former member still has to
// acknowledge the record after it has noted that the change is settled.
func (r *record) lists(m control.Member) bool {
	return slices.ContainsFunc(r.known.Members, m.Same) || slices.ContainsFunc(r.known.Former, m.Same)
}

// index returns the place of a member in the record, where members of the newer set come first.
func (r *record) index(m control.Member) int {
	if i := slices.IndexFunc(r.known.Members, m.Same); i >= 0 {
		return i
	}
	return len(r.known.Members) + slices.IndexFunc(r.known.Former, m.Same)
}

// current returns the set that remains when no change is under way.
func (r *record) current() []control.Member {
	if r.void {
		return r.known.Former
	}
	return r.known.Members
}

// adopt replaces the record by a newer one.
func (r *record) adopt(now time.Time, s control.Succession) {
	if s.Founded != r.known.Founded {
		r.founded = now
	}
	r.known = s
	r.adopted = now
	r.settled = len(s.Former) == 0
	r.void = false
	r.absent = false
	if s.Version > r.expected {
		r.pending = nil
	}
}

// sameSet reports whether both hold the same processes in any order.
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
