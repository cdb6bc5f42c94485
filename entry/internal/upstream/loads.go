package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// loadMeter sums the service time of each shard.
type loadMeter struct {
	since     time.Time
	busyTimes map[shard.Shard]time.Duration
}

func newLoadMeter(now time.Time) loadMeter {
	return loadMeter{since: now, busyTimes: make(map[shard.Shard]time.Duration)}
}

func (l *loadMeter) add(s shard.Shard, serviceTime time.Duration) {
	l.busyTimes[s] += serviceTime
}

// collect returns the mean number of slots that each shard has used since the last call, and resets the sums.
func (l *loadMeter) collect(now time.Time) []control.ShardLoad {
	window := now.Sub(l.since).Seconds()
	if window <= 0 {
		return nil
	}
	out := make([]control.ShardLoad, 0, len(l.busyTimes))
	for s, busyTime := range l.busyTimes {
		out = append(out, control.ShardLoad{Shard: s, Load: busyTime.Seconds() / window})
	}
	slices.SortFunc(out, func(a, b control.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	*l = newLoadMeter(now)
	return out
}
