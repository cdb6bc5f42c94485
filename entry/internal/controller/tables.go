package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// tables holds the copies of the routing table and the state of its object on the platform.
type tables struct {
	// newest is the newest copy that this process holds; at a controller it is the proposal if there is one.
	newest *control.Table
	// committed is the table from which a controller grants.
	committed *control.Table
	// committedByUpstream indexes the placements of the committed table, proposedByUpstream those of the proposal.
	committedByUpstream map[string]control.Placement
	proposedByUpstream  map[string]control.Placement
	// storeOptional says that the proposal changes no placement, so that it may be committed before the platform stores it.
	storeOptional bool
	proposedAt    time.Time
	// stored is the newest table version on the platform, objectVersion the version of the platform object that holds it.
	// objectKnown says that objectVersion is up to date.
	stored        control.Version
	objectVersion int64
	objectKnown   bool
	loading       bool
	// writing is the table that is being written; platformDown is set while the platform doesn't answer.
	writing      *control.Table
	platformDown bool
	retryAt      time.Time
}

// keepNewer replaces the newest copy if the given one is newer.
func (t *tables) keepNewer(n *control.Table) {
	if n.Newer(t.newest) {
		t.newest = n
	}
}

// resetForTerm prepares for a new term, in which nothing is known of the platform object yet.
func (t *tables) resetForTerm(now time.Time) {
	t.clearControllerState()
	t.objectKnown = false
	t.proposedAt = now
}

// clearControllerState removes what only a controller needs.
func (t *tables) clearControllerState() {
	t.committed, t.committedByUpstream, t.proposedByUpstream = nil, nil, nil
}

// markPlatformUp records that the platform answers.
func (t *tables) markPlatformUp() {
	t.platformDown = false
}

// proposal returns the table that is proposed but not committed, or nil.
func (t *tables) proposal() *control.Table {
	if t.committed == t.newest {
		return nil
	}
	return t.newest
}

// AdoptTable takes a copy of the table that was received from a peer. A controller ignores it unless it still lacks a
// table from which to start.
func (c *Controller) AdoptTable(now time.Time, t *control.Table) {
	if t.Pair != c.pair || c.role == roleController && !c.baseTablePending {
		return
	}
	c.tables.keepNewer(t)
	c.Tick(now)
}

// TableLoaded takes the result of LoadTable. ok is false if the call failed, the table is nil if the platform has none.
func (c *Controller) TableLoaded(now time.Time, t *control.Table, version int64, ok bool) {
	c.tables.loading = false
	if !ok {
		c.tables.platformDown = true
		c.tables.retryAt = now.Add(retryInterval)
		return
	}
	c.tables.markPlatformUp()
	c.tables.objectKnown = true
	c.tables.objectVersion = version
	if t != nil {
		c.tables.stored = t.Version()
		if c.role != roleController || c.baseTablePending {
			c.tables.keepNewer(t)
		}
	}
	c.baseTablePending = false
	c.Tick(now)
}

// TableStored takes the result of StoreTable.
func (c *Controller) TableStored(now time.Time, version int64, result WriteResult) {
	t := &c.tables
	switch result {
	case WriteStored:
		t.markPlatformUp()
		t.objectVersion = version
		if t.writing != nil {
			t.stored = t.writing.Version()
		}
	case WriteConflict:
		// Another controller, or an earlier write whose response was lost, has changed the object.
		t.markPlatformUp()
		t.objectKnown = false
	case WriteUnknown:
		t.platformDown = true
		t.objectKnown = false
		t.retryAt = now.Add(retryInterval)
	}
	t.writing = nil
	c.Tick(now)
}

// loadTable requests the table from the platform unless a request is under way.
func (c *Controller) loadTable(now time.Time) {
	if c.tables.loading || now.Before(c.tables.retryAt) {
		return
	}
	c.tables.loading = true
	c.emit(Effect{Kind: LoadTable})
}

// storeTable writes the newest table if the platform has an older one.
func (c *Controller) storeTable(now time.Time) {
	t := &c.tables
	if t.newest == nil || t.newest.Term != c.term || !t.newest.Version().Newer(t.stored) || t.writing != nil || now.Before(t.retryAt) {
		return
	}
	if !t.objectKnown {
		c.loadTable(now)
		return
	}
	t.writing = t.newest
	c.emit(Effect{Kind: StoreTable, Table: t.newest, ExpectedVersion: t.objectVersion})
}

// propose makes the placements the newest table, starts to store it and sends it to the other members.
func (c *Controller) propose(now time.Time, placements []control.Placement, storeOptional bool) {
	sequence := uint64(1)
	if c.tables.newest.Version().Term == c.term {
		sequence = c.tables.newest.Sequence + 1
	}
	c.tables.newest = &control.Table{Pair: c.pair, Term: c.term, Sequence: sequence, Placements: placements}
	c.tables.proposedByUpstream = indexByUpstream(c.tables.newest)
	c.tables.proposedAt = now
	c.tables.storeOptional = storeOptional
	c.storeTable(now)
	c.requestSupport(now)
}

// commit puts the proposal into force once a majority of the members holds it and the
// platform has stored it. If the platform doesn't answer within storeTimeout, the
// majority suffices, unless this process is the only member.
func (c *Controller) commit(now time.Time) {
	t := &c.tables
	p := t.proposal()
	if p == nil || p.Term != c.term {
		return
	}
	v := p.Version()
	held := c.hasQuorum(func(m control.Member) bool {
		return m.Same(c.self) || !v.Newer(c.memberOf(m).tableVersion)
	})
	if !held {
		return
	}
	if v.Newer(t.stored) && !t.storeOptional {
		if c.decidesAlone() {
			return
		}
		if !t.platformDown && now.Before(t.proposedAt.Add(storeTimeout)) {
			return
		}
		t.platformDown = true
	}
	formerTable, formerPlacements := t.committed, t.committedByUpstream
	t.committed, t.committedByUpstream, t.proposedByUpstream = p, t.proposedByUpstream, nil
	c.committed(now, formerTable, formerPlacements)
}

// committed updates the state of the upstreams to a table that has just come into force.
func (c *Controller) committed(now time.Time, formerTable *control.Table, formerPlacements map[string]control.Placement) {
	c.tableUpdateDue = now
	placements := c.tables.committedByUpstream
	changed := map[string]bool{}
	for name, p := range placements {
		u := c.upstreamOf(name)
		switch former, ok := formerPlacements[name]; {
		case formerTable == nil:
			u.expiry = maxTime(c.inheritedExpiry, now.Add(gracePeriod))
		case !ok || former.Fence != p.Fence:
			u.expiry = now.Add(gracePeriod)
			u.closing, u.surplus = false, false
			changed[name] = true
		}
	}
	for name := range c.upstreams {
		if _, ok := placements[name]; !ok {
			delete(c.upstreams, name)
		}
	}
	c.moves.applyTable(now, c.tables.committed, changed, func(name string, r control.Release) {
		u := c.upstreamOf(name)
		u.handover = append(u.handover, r)
	})
}

// indexByUpstream returns the placements of a table by upstream.
func indexByUpstream(t *control.Table) map[string]control.Placement {
	if t == nil {
		return nil
	}
	m := make(map[string]control.Placement, len(t.Placements))
	for _, p := range t.Placements {
		m[p.Upstream] = p
	}
	return m
}
