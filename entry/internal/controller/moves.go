package controller

import (
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// move is a shard on its way out of an upstream, or out of its leaseholder's hands.
type move struct {
	from string
	// to is the wanted upstream, or "" for the least loaded one.
	to string
	// told is the first answer that told the leaseholder to release the shard.
	told uint64
	// reported says that the leaseholder has released the shard.
	reported bool
	release  control.Release
}

// moves holds the shards that are moving and when others moved last.
type moves struct {
	moving map[shard.Shard]*move
	last   map[shard.Shard]time.Time
}

func newMoves() moves {
	return moves{moving: map[shard.Shard]*move{}, last: map[shard.Shard]time.Time{}}
}

// mark starts the move of a shard unless it is moving.
func (m *moves) mark(s shard.Shard, from, to string) {
	if m.moving[s] == nil {
		m.moving[s] = &move{from: from, to: to}
	}
}

// settle applies a table in force to the moves: it removes those that are complete
// and lets those begin anew whose leaseholder has changed. It calls handOver with
// each release that a leaseholder reported.
func (m *moves) settle(now time.Time, t *control.Table, changed map[string]bool, handOver func(upstream string, r control.Release)) {
	for _, p := range t.Placements {
		for _, s := range p.Shards {
			v := m.moving[s]
			if v == nil || v.from == p.Upstream && !changed[p.Upstream] {
				continue
			}
			if v.reported {
				handOver(p.Upstream, v.release)
			}
			delete(m.moving, s)
			if v.from != p.Upstream {
				m.last[s] = now
			} else if v.to != v.from {
				m.moving[s] = &move{from: v.from, to: v.to}
			}
		}
	}
}

// cancel ends the moves from an upstream to the given target. What is released goes on
// to another upstream; if only the leaseholder was to change, it may use the shard again.
func (m *moves) cancel(from, to string) {
	for s, v := range m.moving {
		if v.from == from && v.to == to && (!v.reported || to == from) {
			delete(m.moving, s)
		}
	}
}
