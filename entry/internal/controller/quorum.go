package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// majority reports whether have contains more than half of the members.
func majority(members []control.Member, have func(control.Member) bool) bool {
	n := 0
	for _, m := range members {
		if have(m) {
			n++
		}
	}
	return n > len(members)/2
}

// quorum reports whether the members for which have holds may decide together.
func (c *Controller) quorum(have func(control.Member) bool) bool {
	for _, s := range c.record.sets() {
		if !majority(s, have) {
			return false
		}
	}
	return c.record.known.Version > 0
}

// others returns the other members of all sets in force.
func (c *Controller) others() []control.Member {
	var all []control.Member
	for _, s := range c.record.sets() {
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
	for _, s := range c.record.sets() {
		if slices.ContainsFunc(s, c.self.Same) {
			return true
		}
	}
	return false
}

// alone reports whether this process decides without others.
func (c *Controller) alone() bool {
	return c.quorum(c.self.Same)
}

// supportedAt returns the latest time at which a majority supported this process in its term.
func (c *Controller) supportedAt(now time.Time) time.Time {
	if c.alone() {
		return now
	}
	var times []time.Time
	for _, m := range c.others() {
		if t := c.memberOf(m).supported; !t.IsZero() {
			times = append(times, t)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if c.quorum(func(m control.Member) bool { return m.Same(c.self) || !c.memberOf(m).supported.Before(t) }) {
			return t
		}
	}
	return time.Time{}
}

// authority returns until when this controller may grant.
func (c *Controller) authority(now time.Time) time.Time {
	if c.role != controlling || c.resigned {
		return time.Time{}
	}
	t := c.supportedAt(now)
	if t.IsZero() {
		return t
	}
	return t.Add(control.LeaseTTL)
}
