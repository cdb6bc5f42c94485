package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// promise is the support that a member has promised to a candidate.
type promise struct {
	term      uint32
	candidate control.Member
	// until is when the promise ends; a resignation of the candidate ends it early.
	until time.Time
	// leaseExpiry is when every lease that rests on the promise has expired.
	leaseExpiry time.Time
	// formerExpiry is when every lease that rests on promises to earlier candidates has expired.
	formerExpiry time.Time
}

// permits reports whether the promise allows support of a candidate in a term.
func (p *promise) permits(now time.Time, term uint32, candidate control.Member) bool {
	if term < p.term {
		return false
	}
	if candidate.Same(p.candidate) {
		return true
	}
	return term > p.term && !now.Before(p.until)
}

// update promises support to a candidate until the given time or longer.
func (p *promise) update(term uint32, candidate control.Member, until time.Time) {
	if !candidate.Same(p.candidate) {
		p.formerExpiry = maxTime(p.formerExpiry, p.leaseExpiry)
		p.leaseExpiry = time.Time{}
	}
	p.term = term
	p.candidate = candidate
	p.until = maxTime(p.until, until)
	p.leaseExpiry = maxTime(p.leaseExpiry, until)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
