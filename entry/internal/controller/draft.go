package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// draft is a table under construction.
type draft struct {
	c          *Controller
	now        time.Time
	placements []control.Placement
	gained     map[string]bool
	lost       map[string]bool
	changed    bool
}

func newDraft(c *Controller, now time.Time) *draft {
	return &draft{
		c: c, now: now, placements: slices.Clone(c.tables.committed.Placements),
		gained: map[string]bool{}, lost: map[string]bool{},
	}
}

// addUpstreams gives new upstreams a leaseholder; they receive shards later, in steps.
func (d *draft) addUpstreams() {
	for _, name := range d.c.wanted {
		if _, ok := d.c.tables.inForce[name]; ok {
			continue
		}
		m, ok := d.leaseholder()
		if !ok {
			return
		}
		d.placements = append(d.placements, control.Placement{Upstream: name, Leaseholder: m, Fence: d.c.nextFence(), Revision: 1})
		d.changed = true
	}
}

// planMoves asks the planner for a few moves when nothing else is under way.
func (d *draft) planMoves() {
	c := d.c
	if c.planner == nil || d.changed || len(c.moves.moving) > 0 || d.now.Before(c.nextPlan) {
		return
	}
	c.nextPlan = d.now.Add(planInterval)
	c.forgetHolders(d.now)
	if d.evenLeaseholders() {
		return
	}
	var v View
	slots := c.slots()
	for _, p := range d.placements {
		if !c.eligible(p.Upstream) {
			continue
		}
		s := Share{Upstream: p.Upstream, Slots: slots[p.Upstream], Loads: c.upstreamOf(p.Upstream).loads}
		for _, n := range p.Shards {
			if t, ok := c.moves.last[n]; ok && d.now.Before(t.Add(restTime)) {
				s.Fixed = append(s.Fixed, n)
				continue
			}
			s.Shards = append(s.Shards, n)
		}
		v.Shares = append(v.Shares, s)
	}
	moves := c.planner.Plan(d.now, v)
	for _, m := range moves[:min(len(moves), moveLimit)] {
		if c.eligible(m.To) && m.From != m.To {
			c.moves.mark(m.Shard, m.From, m.To)
		}
	}
}

// dropUpstreams removes upstreams that are no longer configured and own nothing.
func (d *draft) dropUpstreams() {
	if d.c.service == nil {
		return
	}
	n := len(d.placements)
	d.placements = slices.DeleteFunc(d.placements, func(p control.Placement) bool {
		return len(p.Shards) == 0 && !d.lost[p.Upstream] && !d.c.eligible(p.Upstream) && !d.c.configured(p.Upstream)
	})
	d.changed = d.changed || len(d.placements) != n
}

// slots returns the configured slots of each upstream.
func (c *Controller) slots() map[string]int {
	slots := make(map[string]int, len(c.service.Upstreams))
	for _, u := range c.service.Upstreams {
		slots[u.Name] = u.Slots
	}
	return slots
}
