package controller

import (
	"slices"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

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
				if d.c.eligible(v.from) {
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
