package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// tableDraft is a new table that is being built from the committed one.
type tableDraft struct {
	c          *Controller
	now        time.Time
	placements []control.Placement
	// gainedShards and lostShards name the upstreams that gain or lose shards in this draft.
	gainedShards map[string]bool
	lostShards   map[string]bool
	changed      bool
}

func newTableDraft(c *Controller, now time.Time) *tableDraft {
	return &tableDraft{
		c: c, now: now, placements: slices.Clone(c.tables.committed.Placements),
		gainedShards: map[string]bool{}, lostShards: map[string]bool{},
	}
}

// addUpstreams adds new upstreams with a leaseholder but without shards; planned moves bring them shards in steps.
func (d *tableDraft) addUpstreams() {
	for _, name := range d.c.activeUpstreams {
		if _, ok := d.c.tables.committedByUpstream[name]; ok {
			continue
		}
		m, ok := d.leastLoadedVM()
		if !ok {
			return
		}
		d.placements = append(d.placements, control.Placement{Upstream: name, Leaseholder: m, Fence: d.c.nextFence(), Revision: 1})
		d.changed = true
	}
}

// planRebalancing starts a few moves that balance leaseholders or load, unless other changes are under way.
func (d *tableDraft) planRebalancing() {
	c := d.c
	if c.planner == nil || d.changed || len(c.moves.pending) > 0 || d.now.Before(c.nextRebalance) {
		return
	}
	c.nextRebalance = d.now.Add(rebalanceInterval)
	c.forgetSilentLeaseholders(d.now)
	if d.balanceLeaseholders() {
		return
	}
	var v PlannerInput
	slots := c.slots()
	for _, p := range d.placements {
		if !c.canOwnShards(p.Upstream) {
			continue
		}
		s := UpstreamShards{Upstream: p.Upstream, Slots: slots[p.Upstream], Loads: c.upstreamOf(p.Upstream).loads}
		for _, n := range p.Shards {
			if at, ok := c.moves.lastMoved[n]; ok && d.now.Before(at.Add(moveCooldown)) {
				s.RecentlyMoved = append(s.RecentlyMoved, n)
				continue
			}
			s.Shards = append(s.Shards, n)
		}
		v.Shares = append(v.Shares, s)
	}
	moves := c.planner.Plan(d.now, v)
	for _, m := range moves[:min(len(moves), maxPlannedMoves)] {
		if c.canOwnShards(m.To) && m.From != m.To {
			c.moves.start(m.Shard, m.From, m.To)
		}
	}
}

// removeUpstreams removes upstreams that are no longer configured and own no shards.
func (d *tableDraft) removeUpstreams() {
	if d.c.service == nil {
		return
	}
	n := len(d.placements)
	d.placements = slices.DeleteFunc(d.placements, func(p control.Placement) bool {
		return len(p.Shards) == 0 && !d.lostShards[p.Upstream] && !d.c.canOwnShards(p.Upstream) && !d.c.isConfigured(p.Upstream)
	})
	d.changed = d.changed || len(d.placements) != n
}

// slots returns the configured number of slots of each upstream.
func (c *Controller) slots() map[string]int {
	slots := make(map[string]int, len(c.service.Upstreams))
	for _, u := range c.service.Upstreams {
		slots[u.Name] = u.Slots
	}
	return slots
}
