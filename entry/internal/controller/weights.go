package controller

import "bramleystand.org/common/shard"

// weights measures shards by their load, with a share for shards without any.
type weights struct {
	loads map[shard.Shard]float64
	unit  float64
	total map[string]float64
}

// of returns the weight of a shard.
func (w weights) of(s shard.Shard) float64 {
	return w.loads[s] + w.unit
}

// weights returns the weight of each upstream of the draft.
func (d *draft) weights() weights {
	w := weights{loads: map[shard.Shard]float64{}, unit: 1, total: map[string]float64{}}
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
		w.unit = sum / float64(n)
	}
	for _, p := range d.placements {
		for _, s := range p.Shards {
			w.total[p.Upstream] += w.of(s)
		}
	}
	return w
}
