package controller_test

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
)

// owners returns the upstream of each shard in the committed table.
func (w *simulation) owners() map[shard.Shard]string {
	m := map[shard.Shard]string{}
	for _, p := range w.currentController().ctrl.Table().Placements {
		for _, s := range p.Shards {
			m[s] = p.Upstream
		}
	}
	return m
}

// leaseholders returns the number of upstreams of each entry VM that has any.
func (w *simulation) leaseholders() map[string]int {
	m := map[string]int{}
	for _, p := range w.currentController().ctrl.Table().Placements {
		m[p.Leaseholder.Name]++
	}
	return m
}

// longestUnserved advances the simulation by d and returns the longest time for which a shard was unserved.
func (w *simulation) longestUnserved(d time.Duration) time.Duration {
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

// spread returns the difference between the largest and the smallest count.
func spread(counts map[string]int) int {
	low, high := 1<<30, 0
	for _, n := range counts {
		low, high = min(low, n), max(high, n)
	}
	return high - low
}

// Guards against changes of servers and VMs that move more shards than necessary,
// leave the shards unevenly distributed, or leave a shard unserved for longer than
// running requests take to end.
func TestMoves(t *testing.T) {
	const shards, servers = 60, 6
	cases := map[string]struct {
		change      func(*simulation)
		wait        time.Duration
		minMoves    int
		spread      int
		maxUnserved time.Duration
	}{
		"server lost":         {func(w *simulation) { w.servers[1].kill() }, 4 * time.Second, shards / servers, 0, maxRecovery},
		"server leaving":      {func(w *simulation) { w.setLeaving("server-01", true) }, 3 * time.Second, shards / servers, 0, 500 * time.Millisecond},
		"server added":        {func(w *simulation) { w.addServer("server-99") }, 25 * time.Second, shards / (servers + 1), 1, 500 * time.Millisecond},
		"VM leaving":          {func(w *simulation) { w.setLeaving(w.otherLeaseholder().name, true) }, 3 * time.Second, 0, 0, 500 * time.Millisecond},
		"VM stopping":         {func(w *simulation) { w.otherLeaseholder().resign() }, 3 * time.Second, 0, 0, 500 * time.Millisecond},
		"controller stopping": {func(w *simulation) { w.currentController().resign() }, 4 * time.Second, 0, 0, 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(7, 4, servers, shards)
			w.advance(4 * time.Second)
			before := w.owners()
			c.change(w)
			longest := w.longestUnserved(c.wait)
			must.Eq(t, "", w.oracle.failure)
			must.SliceEmpty(t, w.unserved())
			after, moved, counts := w.owners(), 0, map[string]int{}
			for s, o := range after {
				counts[o]++
				if before[s] != o {
					moved++
				}
			}
			t.Logf("%d of %d shards moved, least possible %d; per upstream %v, leaseholders %v; unserved at most %v", moved, shards, c.minMoves, counts, w.leaseholders(), longest)
			must.Eq(t, c.minMoves, moved)
			must.LessEq(t, c.spread, spread(counts))
			must.LessEq(t, c.maxUnserved, longest)
			must.False(t, maps.Equal(before, after) != (c.minMoves == 0))
		})
	}
}

// addServer adds a backend server to the configuration.
func (w *simulation) addServer(name string) {
	s := &server{simulation: w, name: name, fenced: true, clock: w.clock()}
	w.servers = append(w.servers, s)
	next := *w.service
	next.Upstreams = append([]configuration.Upstream{{Name: name, DataCentre: dataCentre, Fenced: true}}, next.Upstreams...)
	w.service = &next
}
