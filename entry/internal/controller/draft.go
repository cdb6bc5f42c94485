package controller

import (
	"slices"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
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

// nextFence returns a fence that no lease had before.
func (c *Controller) nextFence() fence.Fence {
	c.fences++
	return fence.New(c.term, c.fences)
}

// wanted returns the names of the configured upstreams of a data centre that are not leaving.
func wanted(service *configuration.Service, dataCentre string, leaving map[string]bool) []string {
	var names []string
	if service == nil {
		return nil
	}
	for _, u := range service.Upstreams {
		if u.DataCentre == dataCentre && !leaving[u.Name] {
			names = append(names, u.Name)
		}
	}
	slices.Sort(names)
	return names
}

// eligible reports whether an upstream may own shards.
func (c *Controller) eligible(name string) bool {
	if u := c.upstreams[name]; u != nil && u.state == control.Failed || c.leaving[name] {
		return false
	}
	_, ok := slices.BinarySearch(c.wanted, name)
	return ok || c.service == nil
}

// placeAll proposes the first table of the pair. The set of shards is never changed afterwards.
func (c *Controller) placeAll(now time.Time) {
	upstreams := c.wanted
	var members []control.Member
	for _, m := range c.live {
		if m.DataCentre == c.pair.DataCentre && !c.leaving[m.Name] {
			members = append(members, m)
		}
	}
	if len(upstreams) == 0 || len(members) == 0 {
		return
	}
	placements := make([]control.Placement, len(upstreams))
	for i, name := range upstreams {
		placements[i] = control.Placement{Upstream: name, Leaseholder: members[i%len(members)], Fence: c.nextFence(), Revision: 1}
	}
	n := 0
	for s := range shard.Shard(c.service.Shards) {
		if c.service.HomeOf(s) == c.pair.DataCentre {
			p := &placements[n%len(placements)]
			p.Shards = append(p.Shards, s)
			n++
		}
	}
	c.propose(now, placements, false)
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

// leaseholder returns the usable entry VM with the fewest upstreams.
func (d *draft) leaseholder() (control.Member, bool) {
	counts := map[id]int{}
	for _, p := range d.placements {
		counts[idOf(p.Leaseholder)]++
	}
	var best control.Member
	found := false
	for _, h := range d.c.holders {
		if !d.c.usable(d.now, h) {
			continue
		}
		n, m := counts[idOf(h.member)], counts[idOf(best)]
		if !found || n < m || n == m && h.member.Name < best.Name {
			best, found = h.member, true
		}
	}
	return best, found
}

// markClosing asks leaseholders that stop to release their upstreams if another can take them.
func (d *draft) markClosing() {
	least, other := d.leaseholder()
	for _, p := range d.placements {
		u := d.c.upstreamOf(p.Upstream)
		u.surplus = u.surplus && !least.Same(p.Leaseholder)
		h := d.c.holders[p.Leaseholder.Name]
		stops := d.c.leaving[p.Leaseholder.Name] || h != nil && h.member.Same(p.Leaseholder) && h.resigning
		if u.closing && !stops && !u.surplus {
			d.c.moves.cancel(p.Upstream, p.Upstream)
		}
		u.closing = (stops || u.surplus) && other
		if u.closing {
			for _, s := range p.Shards {
				d.c.moves.mark(s, p.Upstream, p.Upstream)
			}
		}
	}
}

// markEvacuations starts moving all shards away from upstreams that failed, leave or are no longer configured.
func (d *draft) markEvacuations() {
	target := slices.ContainsFunc(d.placements, func(p control.Placement) bool { return d.c.eligible(p.Upstream) })
	for _, p := range d.placements {
		if d.c.eligible(p.Upstream) {
			d.c.moves.cancel(p.Upstream, "")
			continue
		}
		if !target {
			continue
		}
		for _, s := range p.Shards {
			d.c.moves.mark(s, p.Upstream, "")
			if v := d.c.moves.moving[s]; v.to == v.from {
				v.to = ""
			}
		}
	}
}

// planMoves asks the planner for a few moves when nothing else is under way.
func (d *draft) planMoves() {
	c := d.c
	if c.planner == nil || d.changed || len(c.moves.moving) > 0 || d.now.Before(c.nextPlan) {
		return
	}
	c.nextPlan = d.now.Add(planInterval)
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

// slots returns the configured slots of each upstream.
func (c *Controller) slots() map[string]int {
	slots := make(map[string]int, len(c.service.Upstreams))
	for _, u := range c.service.Upstreams {
		slots[u.Name] = u.Slots
	}
	return slots
}

// evenLeaseholders picks one upstream to hand over if an entry VM has at least two more than another.
func (d *draft) evenLeaseholders() bool {
	least, ok := d.leaseholder()
	if !ok {
		return false
	}
	owned := map[id]int{}
	for _, p := range d.placements {
		owned[idOf(p.Leaseholder)]++
	}
	most := -1
	for i, p := range d.placements {
		if most < 0 || owned[idOf(p.Leaseholder)] > owned[idOf(d.placements[most].Leaseholder)] {
			most = i
		}
	}
	if most < 0 || owned[idOf(d.placements[most].Leaseholder)] < owned[idOf(least)]+2 {
		return false
	}
	d.c.upstreamOf(d.placements[most].Upstream).surplus = true
	return true
}

// moveShards gives shards that nobody uses any more to their new upstreams.
func (d *draft) moveShards() {
	if len(d.c.moves.moving) == 0 {
		return
	}
	w := d.weights()
	for i := range d.placements {
		p := &d.placements[i]
		expired := !d.now.Before(d.c.upstreamOf(p.Upstream).expiry)
		var keep, left []shard.Shard
		for _, s := range p.Shards {
			v := d.c.moves.moving[s]
			if v == nil || v.from != p.Upstream || v.to == v.from || !v.reported && !expired || d.gained[p.Upstream] {
				keep = append(keep, s)
				continue
			}
			to := d.target(v, w)
			if to == "" {
				keep = append(keep, s)
				if v.to != "" && d.c.eligible(v.from) {
					delete(d.c.moves.moving, s)
				}
				continue
			}
			left = append(left, s)
			w.total[to] += w.of(s)
			d.give(to, s)
		}
		if len(left) > 0 {
			p.Shards = keep
			p.Revision++
			d.lost[p.Upstream] = true
			d.changed = true
		}
	}
}

// give adds a shard to an upstream.
func (d *draft) give(to string, s shard.Shard) {
	i := slices.IndexFunc(d.placements, func(p control.Placement) bool { return p.Upstream == to })
	p := &d.placements[i]
	at, _ := slices.BinarySearch(p.Shards, s)
	if !d.gained[to] {
		p.Shards = slices.Clone(p.Shards)
		p.Revision++
	}
	p.Shards = slices.Insert(p.Shards, at, s)
	d.gained[to] = true
}

// target returns the upstream that takes a shard, or "" if there is none.
func (d *draft) target(v *move, w weights) string {
	if v.to != "" && d.c.eligible(v.to) && !d.lost[v.to] {
		return v.to
	}
	best := ""
	for _, p := range d.placements {
		if p.Upstream == v.from || !d.c.eligible(p.Upstream) || d.lost[p.Upstream] || p.Fence == 0 {
			continue
		}
		if best == "" || w.total[p.Upstream] < w.total[best] {
			best = p.Upstream
		}
	}
	return best
}

// replaceLeaseholders gives upstreams to other entry VMs where the leaseholder is silent or has released everything.
func (d *draft) replaceLeaseholders() {
	for i := range d.placements {
		p := &d.placements[i]
		u := d.c.upstreamOf(p.Upstream)
		h := d.c.holders[p.Leaseholder.Name]
		present := h != nil && h.member.Same(p.Leaseholder) && d.now.Before(h.heard.Add(gracePeriod))
		silent := !present && !d.now.Before(u.expiry)
		if d.gained[p.Upstream] || !silent && !(u.closing && d.released(p)) {
			continue
		}
		m, ok := d.leaseholder()
		if !ok || m.Same(p.Leaseholder) {
			continue
		}
		p.Leaseholder = m
		p.Fence = d.c.nextFence()
		p.Revision = 1
		d.changed = true
	}
}

// released reports whether the leaseholder has released all shards of the placement.
func (d *draft) released(p *control.Placement) bool {
	expired := !d.now.Before(d.c.upstreamOf(p.Upstream).expiry)
	for _, s := range p.Shards {
		if v := d.c.moves.moving[s]; !expired && (v == nil || !v.reported) {
			return false
		}
	}
	return true
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

// configured reports whether the service has the upstream, leaving or not.
func (c *Controller) configured(name string) bool {
	return slices.ContainsFunc(c.service.Upstreams, func(u configuration.Upstream) bool {
		return u.Name == name && u.DataCentre == c.pair.DataCentre
	})
}
