package controller_test

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
)

// owners returns the upstream of each shard in the table in force.
func (w *world) owners() map[shard.Shard]string {
	m := map[shard.Shard]string{}
	for _, p := range w.controller().ctrl.Table().Placements {
		for _, s := range p.Shards {
			m[s] = p.Upstream
		}
	}
	return m
}

// leaseholders returns how many upstreams each entry VM has.
func (w *world) leaseholders() map[string]int {
	m := map[string]int{}
	for _, p := range w.controller().ctrl.Table().Placements {
		m[p.Leaseholder.Name]++
	}
	return m
}

// watch advances and returns the longest time for which a shard was unserved.
func (w *world) watch(d time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	since := map[shard.Shard]time.Duration{}
	var longest time.Duration
	for end := w.now + d; w.now < end; w.advance(step) {
		present := map[shard.Shard]time.Duration{}
		for _, s := range w.unserved() {
			present[s] = since[s] + step
			longest = max(longest, present[s])
		}
		since = present
	}
	return longest
}

// spread returns the difference between the largest and the smallest number.
func spread(counts map[string]int) int {
	low, high := 1<<30, 0
	for _, n := range counts {
		low, high = min(low, n), max(high, n)
	}
	return high - low
}

// Guards against more moves than a change needs, uneven placement, and planned
// moves that leave shards unserved for longer than running requests take.
func TestMoves(t *testing.T) {
	const shards, servers = 60, 6
	cases := map[string]struct {
		change func(*world)
		wait   time.Duration
		least  int
		spread int
		limit  time.Duration
	}{
		"server lost":     {func(w *world) { w.servers[1].kill() }, 4 * time.Second, shards / servers, 0, recoveryLimit},
		"server leaving":  {func(w *world) { w.mark("server-01", true) }, 3 * time.Second, shards / servers, 0, 500 * time.Millisecond},
		"server added":    {func(w *world) { w.addServer("server-99") }, 25 * time.Second, shards / (servers + 1), 1, 500 * time.Millisecond},
		"VM leaving":      {func(w *world) { w.mark(w.other().name, true) }, 3 * time.Second, 0, 0, 500 * time.Millisecond},
		"VM stopping":     {func(w *world) { w.other().resign() }, 3 * time.Second, 0, 0, 500 * time.Millisecond},
		"control stopped": {func(w *world) { w.controller().resign() }, 4 * time.Second, 0, 0, 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(7, 4, servers, shards)
			w.advance(4 * time.Second)
			before := w.owners()
			c.change(w)
			longest := w.watch(c.wait)
			must.Eq(t, "", w.oracle.failure)
			must.SliceEmpty(t, w.unserved())
			after, moved, counts := w.owners(), 0, map[string]int{}
			for s, o := range after {
				counts[o]++
				if before[s] != o {
					moved++
				}
			}
			t.Logf("%d of %d shards moved, least possible %d; per upstream %v, leaseholders %v; unserved at most %v", moved, shards, c.least, counts, w.leaseholders(), longest)
			must.Eq(t, c.least, moved)
			must.LessEq(t, c.spread, spread(counts))
			must.LessEq(t, c.limit, longest)
			must.False(t, maps.Equal(before, after) != (c.least == 0))
		})
	}
}

// addServer adds a backend server to the configuration.
func (w *world) addServer(name string) {
	s := &server{world: w, name: name, fenced: true, clock: w.clock()}
	w.servers = append(w.servers, s)
	next := *w.service
	next.Upstreams = append([]configuration.Upstream{{Name: name, DataCentre: dataCentre, Fenced: true}}, next.Upstreams...)
	w.service = &next
}
