package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// tables holds the copies of the routing table and the state of its storage.
type tables struct {
	// newest is the newest copy held here; for a controller it is the proposal if there is one.
	newest *control.Table
	// committed is the table from which a controller grants.
	committed *control.Table
	// inForce indexes the committed table, proposed the proposal.
	inForce  map[string]control.Placement
	proposed map[string]control.Placement
	// waived says that the proposal changes nothing, so that the platform need not have it.
	waived     bool
	proposedAt time.Time
	// stored is the newest version on the platform, object the version of the platform object.
	stored  control.Version
	object  int64
	known   bool
	loading bool
	// writing is the version being written; down is set while the platform doesn't answer.
	writing *control.Table
	down    bool
	retry   time.Time
}

// keep stores a copy if it is newer.
func (t *tables) keep(n *control.Table) {
	if n.Newer(t.newest) {
		t.newest = n
	}
}

// start prepares for a new term; nothing is known of the platform object.
func (t *tables) start(now time.Time) {
	t.stop()
	t.known = false
	t.proposedAt = now
}

// stop forgets what only a controller needs.
func (t *tables) stop() {
	t.committed, t.inForce, t.proposed = nil, nil, nil
}

// platformUp notes that the platform answers.
func (t *tables) platformUp() {
	t.down = false
}

// proposal returns the table that is being stored, or nil.
func (t *tables) proposal() *control.Table {
	if t.committed == t.newest {
		return nil
	}
	return t.newest
}

// Restore takes a copy of the table that was read from a peer.
func (c *Controller) Restore(now time.Time, t *control.Table) {
	if t.Pair != c.pair || c.role == controlling && !c.loadBase {
		return
	}
	c.tables.keep(t)
	c.Tick(now)
}

// TableLoaded takes the result of LoadTable; the table is nil if the platform has none.
func (c *Controller) TableLoaded(now time.Time, t *control.Table, version int64, ok bool) {
	c.tables.loading = false
	if !ok {
		c.tables.down = true
		c.tables.retry = now.Add(retryInterval)
		return
	}
	c.tables.platformUp()
	c.tables.known = true
	c.tables.object = version
	if t != nil {
		c.tables.stored = t.Version()
		if c.role != controlling || c.loadBase {
			c.tables.keep(t)
		}
	}
	c.loadBase = false
	c.Tick(now)
}

// TableStored takes the result of StoreTable.
func (c *Controller) TableStored(now time.Time, version int64, result Result) {
	t := &c.tables
	switch result {
	case Stored:
		t.platformUp()
		t.object = version
		if t.writing != nil {
			t.stored = t.writing.Version()
		}
	case Conflict:
		// Another controller or an earlier write with a lost answer was first.
		t.platformUp()
		t.known = false
	case Unknown:
		t.down = true
		t.known = false
		t.retry = now.Add(retryInterval)
	}
	t.writing = nil
	c.Tick(now)
}

// loadTable reads the platform object unless that is under way.
func (c *Controller) loadTable(now time.Time) {
	if c.tables.loading || now.Before(c.tables.retry) {
		return
	}
	c.tables.loading = true
	c.emit(Effect{Kind: LoadTable})
}

// storeTable writes the newest table if the platform has an older one.
func (c *Controller) storeTable(now time.Time) {
	t := &c.tables
	if t.newest == nil || t.newest.Term != c.term || !t.newest.Version().Newer(t.stored) || t.writing != nil || now.Before(t.retry) {
		return
	}
	if !t.known {
		c.loadTable(now)
		return
	}
	t.writing = t.newest
	c.emit(Effect{Kind: StoreTable, Table: t.newest, Expected: t.object})
}

// propose starts the storing of a changed table.
func (c *Controller) propose(now time.Time, placements []control.Placement, waived bool) {
	sequence := uint64(1)
	if c.tables.newest.Version().Term == c.term {
		sequence = c.tables.newest.Sequence + 1
	}
	c.tables.newest = &control.Table{Pair: c.pair, Term: c.term, Sequence: sequence, Placements: placements}
	c.tables.proposed = byUpstream(c.tables.newest)
	c.tables.proposedAt = now
	c.tables.waived = waived
	c.storeTable(now)
	c.ask(now)
}

// commit puts the proposal into force once it is stored.
func (c *Controller) commit(now time.Time) {
	t := &c.tables
	p := t.proposal()
	if p == nil || p.Term != c.term {
		return
	}
	v := p.Version()
	held := c.quorum(func(m control.Member) bool {
		return m.Same(c.self) || !v.Newer(c.memberOf(m).table)
	})
	if !held {
		return
	}
	if v.Newer(t.stored) && !t.waived {
		if c.alone() {
			return
		}
		if !t.down && now.Before(t.proposedAt.Add(storeTimeout)) {
			return
		}
		t.down = true
	}
	former, before := t.committed, t.inForce
	t.committed, t.inForce, t.proposed = p, t.proposed, nil
	c.committed(now, former, before)
}

// committed adapts the state of the upstreams to a table that is now in force.
func (c *Controller) committed(now time.Time, former *control.Table, before map[string]control.Placement) {
	c.planDue = now
	present := c.tables.inForce
	changed := map[string]bool{}
	for name, p := range present {
		u := c.upstreamOf(name)
		switch b, ok := before[name]; {
		case former == nil:
			u.expiry = later(c.inherited, now.Add(gracePeriod))
		case !ok || b.Fence != p.Fence:
			u.expiry = now.Add(gracePeriod)
			u.closing, u.surplus = false, false
			changed[name] = true
		}
	}
	for name := range c.upstreams {
		if _, ok := present[name]; !ok {
			delete(c.upstreams, name)
		}
	}
	c.moves.settle(now, c.tables.committed, changed, func(name string, r control.Release) {
		u := c.upstreamOf(name)
		u.handover = append(u.handover, r)
	})
}

// byUpstream indexes the placements of a table.
func byUpstream(t *control.Table) map[string]control.Placement {
	if t == nil {
		return nil
	}
	m := make(map[string]control.Placement, len(t.Placements))
	for _, p := range t.Placements {
		m[p.Upstream] = p
	}
	return m
}
