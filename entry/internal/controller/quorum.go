package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// isMajority reports whether included holds for more than half of the members.
func isMajority(members []control.Member, included func(control.Member) bool) bool {
	n := 0
	for _, m := range members {
		if included(m) {
			n++
		}
	}
	return n > len(members)/2
}

// hasQuorum reports whether the members for which included holds are a majority of each set in force, and so may decide.
func (c *Controller) hasQuorum(included func(control.Member) bool) bool {
	for _, s := range c.record.memberSets() {
		if !isMajority(s, included) {
			return false
		}
	}
	return c.record.known.Version > 0
}

// otherMembers returns the members of all sets in force except this process.
func (c *Controller) otherMembers() []control.Member {
	var all []control.Member
	for _, s := range c.record.memberSets() {
		for _, m := range s {
			if !m.Same(c.self) && !slices.ContainsFunc(all, m.Same) {
				all = append(all, m)
			}
		}
	}
	return all
}

// isMember reports whether this process belongs to a set in force.
func (c *Controller) isMember() bool {
	for _, s := range c.record.memberSets() {
		if slices.ContainsFunc(s, c.self.Same) {
			return true
		}
	}
	return false
}

// decidesAlone reports whether this process is a quorum without other members.
func (c *Controller) decidesAlone() bool {
	return c.hasQuorum(c.self.Same)
}

// supportedAt returns the latest time such that each other member of a quorum has accepted a support request of the
// current term that was sent at that time or later, or zero if there is none.
func (c *Controller) supportedAt(now time.Time) time.Time {
	if c.decidesAlone() {
		return now
	}
	var times []time.Time
	for _, m := range c.otherMembers() {
		if t := c.memberOf(m).lastSupport; !t.IsZero() {
			times = append(times, t)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if c.hasQuorum(func(m control.Member) bool { return m.Same(c.self) || !c.memberOf(m).lastSupport.Before(t) }) {
			return t
		}
	}
	return time.Time{}
}

// authority returns when the right of this controller to grant leases ends, or zero if it has none.
func (c *Controller) authority(now time.Time) time.Time {
	if c.role != roleController || c.resigned {
		return time.Time{}
	}
	t := c.supportedAt(now)
	if t.IsZero() {
		return t
	}
	return t.Add(control.LeaseTTL)
}
