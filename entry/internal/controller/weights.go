package controller

import "bramleystand.org/common/shard"

// weights holds the load of each shard and the total weight of each upstream. The weight of a shard is its load plus
// baseWeight, the average load per shard, so that shards without load count too.
type weights struct {
	loads      map[shard.Shard]float64
	baseWeight float64
	totals     map[string]float64
}

// weightOf returns the weight of a shard.
func (w weights) weightOf(s shard.Shard) float64 {
	return w.loads[s] + w.baseWeight
}

// weights returns the weights of the shards and upstreams of the draft.
func (d *tableDraft) weights() weights {
	w := weights{loads: map[shard.Shard]float64{}, baseWeight: 1, totals: map[string]float64{}}
	sum, n := 0.0, 0
	for _, p := range d.placements {
		loads := d.c.upstreamOf(p.Upstream).loads
		for _, s := range p.Shards {
			w.loads[s] = loads[s]
			sum += loads[s]
			n++
		}
	}
	if sum > 0 {
		w.baseWeight = sum / float64(n)
	}
	for _, p := range d.placements {
		for _, s := range p.Shards {
			w.totals[p.Upstream] += w.weightOf(s)
		}
	}
	return w
}
