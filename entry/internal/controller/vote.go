package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// vote is what a member has promised.
type vote struct {
	term      uint32
	candidate control.Member
	// until is when the promise ends; resignation ends it early.
	until time.Time
	// leases is when every lease that rests on the promise has expired.
	leases time.Time
	// foreign is the same for promises to earlier candidates.
	foreign time.Time
}

// allows reports whether a candidate may be supported in a term.
func (v *vote) allows(now time.Time, term uint32, candidate control.Member) bool {
	if term < v.term {
		return false
	}
	if candidate.Same(v.candidate) {
		return true
	}
	return term > v.term && !now.Before(v.until)
}

// give promises support until the given time.
func (v *vote) give(term uint32, candidate control.Member, until time.Time) {
	if !candidate.Same(v.candidate) {
		v.foreign = later(v.foreign, v.leases)
		v.leases = time.Time{}
	}
	v.term = term
	v.candidate = candidate
	v.until = later(v.until, until)
	v.leases = later(v.leases, until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
