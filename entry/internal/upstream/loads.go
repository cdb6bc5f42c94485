package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// loads sums the service time of each shard.
type loads struct {
	since time.Time
	busy  map[shard.Shard]time.Duration
}

func newLoads(now time.Time) loads {
	return loads{since: now, busy: make(map[shard.Shard]time.Duration)}
}

func (l *loads) add(s shard.Shard, service time.Duration) {
	l.busy[s] += service
}

// take returns the mean number of slots that each shard used since the last call.
func (l *loads) take(now time.Time) []control.ShardLoad {
	window := now.Sub(l.since).Seconds()
	if window <= 0 {
		return nil
	}
	out := make([]control.ShardLoad, 0, len(l.busy))
	for s, busy := range l.busy {
		out = append(out, control.ShardLoad{Shard: s, Load: busy.Seconds() / window})
	}
	slices.SortFunc(out, func(a, b control.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	*l = newLoads(now)
	return out
}
