package controller

import (
	"bramleystand.org/entry/internal/control"
)

// leastLoadedVM returns the entry VM with the fewest upstreams among those that may hold leases.
func (d *tableDraft) leastLoadedVM() (control.Member, bool) {
	counts := map[processID]int{}
	for _, p := range d.placements {
		counts[processIDOf(p.Leaseholder)]++
	}
	var best control.Member
	found := false
	for _, h := range d.c.leaseholders {
		if !d.c.canHoldLeases(d.now, h) {
			continue
		}
		n, m := counts[processIDOf(h.member)], counts[processIDOf(best)]
		if !found || n < m || n == m && h.member.Name < best.Name {
			best, found = h.member, true
		}
	}
	return best, found
}

// updateClosing asks leaseholders that stop or have too many upstreams to release them, if another entry VM can take them.
func (d *tableDraft) updateClosing() {
	leastLoaded, available := d.leastLoadedVM()
	for _, p := range d.placements {
		u := d.c.upstreamOf(p.Upstream)
		u.surplus = u.surplus && !leastLoaded.Same(p.Leaseholder)
		h := d.c.leaseholders[p.Leaseholder.Name]
		stopping := d.c.leavingVMs[p.Leaseholder.Name] || h != nil && h.member.Same(p.Leaseholder) && h.resigning
		closing := (stopping || u.surplus) && available
		if u.closing && !closing {
			d.c.moves.cancel(p.Upstream, p.Upstream)
		}
		u.closing = closing
		if u.closing {
			for _, s := range p.Shards {
				d.c.moves.start(s, p.Upstream, p.Upstream)
			}
		}
	}
}

// balanceLeaseholders picks one upstream to hand over if an entry VM has at least two more upstreams than another.
func (d *tableDraft) balanceLeaseholders() bool {
	leastLoaded, ok := d.leastLoadedVM()
	if !ok {
		return false
	}
	upstreamCounts := map[processID]int{}
	for _, p := range d.placements {
		upstreamCounts[processIDOf(p.Leaseholder)]++
	}
	mostLoaded := -1
	for i, p := range d.placements {
		if mostLoaded < 0 || upstreamCounts[processIDOf(p.Leaseholder)] > upstreamCounts[processIDOf(d.placements[mostLoaded].Leaseholder)] {
			mostLoaded = i
		}
	}
	if mostLoaded < 0 || upstreamCounts[processIDOf(d.placements[mostLoaded].Leaseholder)] < upstreamCounts[processIDOf(leastLoaded)]+2 {
		return false
	}
	d.c.upstreamOf(d.placements[mostLoaded].Upstream).surplus = true
	return true
}

// replaceLeaseholders gives an upstream to another entry VM if its leaseholder's lease has expired without renewal or
// the leaseholder has released all shards.
func (d *tableDraft) replaceLeaseholders() {
	for i := range d.placements {
		p := &d.placements[i]
		u := d.c.upstreamOf(p.Upstream)
		h := d.c.leaseholders[p.Leaseholder.Name]
		renewing := h != nil && h.member.Same(p.Leaseholder) && d.now.Before(h.lastHeard.Add(gracePeriod))
		silent := !renewing && !d.now.Before(u.expiry)
		if d.gainedShards[p.Upstream] || !silent && !(u.closing && d.allReleased(p)) {
			continue
		}
		m, ok := d.leastLoadedVM()
		if !ok || m.Same(p.Leaseholder) {
			continue
		}
		p.Leaseholder = m
		p.Fence = d.c.nextFence()
		p.Revision = 1
		d.changed = true
	}
}

// allReleased reports whether the leaseholder has released all shards of the placement or its lease has expired.
func (d *tableDraft) allReleased(p *control.Placement) bool {
	expired := !d.now.Before(d.c.upstreamOf(p.Upstream).expiry)
	for _, s := range p.Shards {
		if v := d.c.moves.pending[s]; !expired && (v == nil || !v.releaseReported) {
			return false
		}
	}
	return true
}
