package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// checkLostMajority checks whether the former or the newer members have lost their majority while a member change is
// unsettled, and lets the other set decide alone.
func (c *Controller) checkLostMajority(now time.Time) {
	r := &c.record
	if r.known.Version == 0 || r.settled || r.membersLost {
		return
	}
	lostFormer, lostCurrent := c.lostMajority(r.known.Former), c.lostMajority(r.known.Members)
	if lostFormer == lostCurrent {
		return
	}
	// Leases that were granted with the support of the lost set must expire before new ones are granted.
	r.settled = lostFormer
	r.membersLost = lostCurrent
	c.inheritedExpiry = maxTime(c.inheritedExpiry, now.Add(promiseDuration))
	c.promise.formerExpiry = maxTime(c.promise.formerExpiry, now.Add(promiseDuration))
}

// lostMajority reports whether so many members are gone that the rest is no majority.
func (c *Controller) lostMajority(members []control.Member) bool {
	return !isMajority(members, func(m control.Member) bool { return !c.isGone(m) })
}

// isGone reports whether a process can never act again: its VM was removed, or a later incarnation is live.
func (c *Controller) isGone(m control.Member) bool {
	if c.removedVMs[m.Name] {
		return true
	}
	return slices.ContainsFunc(c.liveVMs, func(l control.Member) bool {
		return l.Name == m.Name && l.Incarnation > m.Incarnation
	})
}
