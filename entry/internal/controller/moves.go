package controller

import (
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// pendingMove is the unfinished move of a shard to another upstream, or to another leaseholder of the same upstream.
type pendingMove struct {
	from string
	// to is the target upstream, or "" for the least loaded one. It equals from if only the leaseholder changes.
	to string
	// releaseResponse is the sequence number of the first response that told the leaseholder to release the shard, or 0.
	releaseResponse uint64
	// releaseReported says that the leaseholder has reported the shard as released, with the given release.
	releaseReported bool
	release         control.Release
}

// moves holds the pending move of each shard that is moving, and when shards moved last.
type moves struct {
	pending   map[shard.Shard]*pendingMove
	lastMoved map[shard.Shard]time.Time
}

func newMoves() moves {
	return moves{pending: map[shard.Shard]*pendingMove{}, lastMoved: map[shard.Shard]time.Time{}}
}

// start begins the move of a shard unless the shard is already moving.
func (m *moves) start(s shard.Shard, from, to string) {
	if m.pending[s] == nil {
		m.pending[s] = &pendingMove{from: from, to: to}
	}
}

// applyTable updates the moves to a newly committed table. It removes those that are
// complete and restarts those whose leaseholder has changed meanwhile. It calls
// onRelease with each release that a leaseholder reported.
func (m *moves) applyTable(now time.Time, t *control.Table, changed map[string]bool, onRelease func(upstream string, r control.Release)) {
	for _, p := range t.Placements {
		for _, s := range p.Shards {
			v := m.pending[s]
			if v == nil || v.from == p.Upstream && !changed[p.Upstream] {
				continue
			}
			if v.releaseReported {
				onRelease(p.Upstream, v.release)
			}
			delete(m.pending, s)
			if v.from != p.Upstream {
				m.lastMoved[s] = now
			} else if v.to != v.from {
				m.pending[s] = &pendingMove{from: v.from, to: v.to}
			}
		}
	}
}

// cancel ends the moves from an upstream to the given target. A shard that is already
// released still goes to another upstream, unless only the leaseholder was to change:
// then the leaseholder may use the shard again.
func (m *moves) cancel(from, to string) {
	for s, v := range m.pending {
		if v.from == from && v.to == to && (!v.releaseReported || to == from) {
			delete(m.pending, s)
		}
	}
}
