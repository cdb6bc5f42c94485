package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// control advances the work of a controller that has authority.
func (c *Controller) control(now time.Time) {
	if c.role != controlling {
		return
	}
	if c.record.settled && !c.isMember() {
		c.relinquish(now)
		return
	}
	if !now.Before(c.authority(now)) {
		return
	}
	if c.loadBase {
		c.loadTable(now)
		return
	}
	if now.Before(c.grantFrom) {
		return
	}
	if t := c.tables.newest; t == nil {
		c.placeAll(now)
	} else if t.Term != c.term {
		c.adoptBase(now, t)
	}
	c.commit(now)
	c.storeTable(now)
	if c.tables.committed != nil && c.tables.proposal() == nil && !now.Before(c.planDue) {
		c.plan(now)
		c.commit(now)
	}
}

// adoptBase proposes the table from which the term starts. After a reset the table
// may lack the last changes, so that a backend server may have seen a higher fence
// than it names; every upstream then gets a new one.
func (c *Controller) adoptBase(now time.Time, t *control.Table) {
	if t.Term >= c.record.known.Founded {
		c.propose(now, t.Placements, true)
		return
	}
	placements := slices.Clone(t.Placements)
	for i := range placements {
		placements[i].Fence = c.nextFence()
		placements[i].Revision = 1
	}
	c.propose(now, placements, false)
}

// plan proposes a table with all changes that are possible now.
func (c *Controller) plan(now time.Time) {
	c.planDue = now.Add(planPeriod)
	d := newDraft(c, now)
	d.addUpstreams()
	d.markClosing()
	d.markEvacuations()
	d.planMoves()
	d.moveShards()
	d.replaceLeaseholders()
	d.dropUpstreams()
	if d.changed {
		c.propose(now, d.placements, false)
	}
}
