package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// Dump is a snapshot of a Controller for the /dump endpoint.
type Dump struct {
	Pair       control.Pair
	Role       string
	Term       uint32
	Succession control.Succession
	Settled    bool
	// Promised is the candidate that this member has promised to support, in PromisedTerm until PromisedUntil.
	Promised      control.Member
	PromisedTerm  uint32
	PromisedUntil time.Time
	// Authority is when the right of this controller to grant leases ends; it is zero if it has none.
	Authority time.Time
	Committed control.Version
	Newest    control.Version
	Stored    control.Version
	Moving    int
	Leases    []LeaseDump
}

// LeaseDump is the placement and lease state of one upstream in a Dump.
type LeaseDump struct {
	Placement control.Placement
	Expiry    time.Time
	State     control.ServerState
	Closing   bool
}

// Dump returns a snapshot of the current state.
func (c *Controller) Dump(now time.Time) Dump {
	d := Dump{
		Pair: c.pair, Role: c.role.String(), Term: c.term, Succession: c.record.known, Settled: c.record.settled,
		Promised: c.promise.candidate, PromisedTerm: c.promise.term, PromisedUntil: c.promise.until,
		Authority: c.authority(now), Committed: c.tables.committed.Version(), Newest: c.tables.newest.Version(),
		Stored: c.tables.stored, Moving: len(c.moves.pending),
	}
	if c.tables.committed == nil {
		return d
	}
	for _, p := range c.tables.committed.Placements {
		l := LeaseDump{Placement: p}
		if u := c.upstreams[p.Upstream]; u != nil {
			l.Expiry, l.State, l.Closing = u.expiry, u.state, u.closing
		}
		d.Leases = append(d.Leases, l)
	}
	return d
}
