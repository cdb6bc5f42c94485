package controller

import (
	"bramleystand.org/entry/internal/control"
)

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
		closing := (stops || u.surplus) && other
		if u.closing && !closing {
			d.c.moves.cancel(p.Upstream, p.Upstream)
		}
		u.closing = closing
		if u.closing {
			for _, s := range p.Shards {
				d.c.moves.mark(s, p.Upstream, p.Upstream)
			}
		}
	}
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
