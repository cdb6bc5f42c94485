package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// control performs the work of a controller that has authority: it establishes, changes, commits and stores the table.
func (c *Controller) control(now time.Time) {
	if c.role != roleController {
		return
	}
	if c.record.settled && !c.isMember() {
		c.handOverControl(now)
		return
	}
	if !now.Before(c.authority(now)) {
		return
	}
	if c.baseTablePending {
		c.loadTable(now)
		return
	}
	if now.Before(c.grantFrom) {
		return
	}
	if t := c.tables.newest; t == nil {
		c.proposeFirstTable(now)
	} else if t.Term != c.term {
		c.proposeBaseTable(now, t)
	}
	c.commit(now)
	c.storeTable(now)
	if c.tables.committed != nil && c.tables.proposal() == nil && !now.Before(c.tableUpdateDue) {
		c.proposeChanges(now)
		c.commit(now)
	}
}

// proposeBaseTable proposes the table from which the term starts. After a reset of
// the succession record the table may lack the latest changes, and backend servers
// may have seen higher fences than it names. Every upstream then gets a new fence.
func (c *Controller) proposeBaseTable(now time.Time, t *control.Table) {
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

// proposeChanges proposes a table with all changes that are possible now.
func (c *Controller) proposeChanges(now time.Time) {
	c.tableUpdateDue = now.Add(tableUpdateInterval)
	d := newTableDraft(c, now)
	d.addUpstreams()
	d.updateClosing()
	d.startEvacuations()
	d.planRebalancing()
	d.moveShards()
	d.replaceLeaseholders()
	d.removeUpstreams()
	if d.changed {
		c.propose(now, d.placements, false)
	}
}
