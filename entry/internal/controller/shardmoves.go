package controller

import (
	"slices"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// startEvacuations starts moving all shards away from upstreams that failed, leave or are no longer configured.
func (d *tableDraft) startEvacuations() {
	available := slices.ContainsFunc(d.placements, func(p control.Placement) bool { return d.c.canOwnShards(p.Upstream) })
	for _, p := range d.placements {
		if d.c.canOwnShards(p.Upstream) {
			d.c.moves.cancel(p.Upstream, "")
			continue
		}
		if !available {
			continue
		}
		for _, s := range p.Shards {
			d.c.moves.start(s, p.Upstream, "")
			if v := d.c.moves.pending[s]; v.to == v.from {
				v.to = ""
			}
		}
	}
}

// moveShards assigns shards that their leaseholder has released, or whose lease has expired, to their new upstreams.
func (d *tableDraft) moveShards() {
	if len(d.c.moves.pending) == 0 {
		return
	}
	w := d.weights()
	for i := range d.placements {
		p := &d.placements[i]
		expired := !d.now.Before(d.c.upstreamOf(p.Upstream).expiry)
		var kept, moved []shard.Shard
		for _, s := range p.Shards {
			v := d.c.moves.pending[s]
			if v == nil || v.from != p.Upstream || v.to == v.from || !v.releaseReported && !expired || d.gainedShards[p.Upstream] {
				kept = append(kept, s)
				continue
			}
			to := d.chooseTarget(v, w)
			if to == "" {
				kept = append(kept, s)
				if d.c.canOwnShards(v.from) {
					delete(d.c.moves.pending, s)
				}
				continue
			}
			moved = append(moved, s)
			w.totals[to] += w.weightOf(s)
			d.addShard(to, s)
		}
		if len(moved) > 0 {
			p.Shards = kept
			p.Revision++
			d.lostShards[p.Upstream] = true
			d.changed = true
		}
	}
}

// addShard adds a shard to an upstream of the draft.
func (d *tableDraft) addShard(to string, s shard.Shard) {
	i := slices.IndexFunc(d.placements, func(p control.Placement) bool { return p.Upstream == to })
	p := &d.placements[i]
	at, _ := slices.BinarySearch(p.Shards, s)
	if !d.gainedShards[to] {
		p.Shards = slices.Clone(p.Shards)
		p.Revision++
	}
	p.Shards = slices.Insert(p.Shards, at, s)
	d.gainedShards[to] = true
}

// chooseTarget returns the upstream that takes a shard, or "" if there is none. It prefers the
// wanted target and falls back to the upstream with the lowest load.
func (d *tableDraft) chooseTarget(v *pendingMove, w weights) string {
	if v.to != "" && d.c.canOwnShards(v.to) && !d.lostShards[v.to] {
		return v.to
	}
	best := ""
	for _, p := range d.placements {
		if p.Upstream == v.from || !d.c.canOwnShards(p.Upstream) || d.lostShards[p.Upstream] || p.Fence == 0 {
			continue
		}
		if best == "" || w.totals[p.Upstream] < w.totals[best] {
			best = p.Upstream
		}
	}
	return best
}
