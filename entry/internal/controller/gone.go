package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// examineMembers reacts to members that are known to be gone.
func (c *Controller) examineMembers(now time.Time) {
	r := &c.record
	if r.known.Version == 0 || r.settled || r.void {
		return
	}
	former, current := c.lost(r.known.Former), c.lost(r.known.Members)
	if former == current {
		return
	}
	// Only one of the two sets can still decide. Leases granted with the other expire first.
	r.settled = former
	r.void = current
	c.inherited = later(c.inherited, now.Add(promiseTime))
	c.vote.foreign = later(c.vote.foreign, now.Add(promiseTime))
}

// lost reports whether too many members are gone for a majority.
func (c *Controller) lost(members []control.Member) bool {
	return !majority(members, func(m control.Member) bool { return !c.gone(m) })
}

// gone reports whether a process is known never to act again.
func (c *Controller) gone(m control.Member) bool {
	if c.removed[m.Name] {
		return true
	}
	return slices.ContainsFunc(c.live, func(l control.Member) bool {
		return l.Name == m.Name && l.Incarnation > m.Incarnation
	})
}
