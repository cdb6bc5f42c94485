package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/control"
)

// inForceWithin is the bound within which a change must be in force everywhere.
const inForceWithin = 10 * time.Second

// Guards against versions that go back, and against changes that don't reach every member within the bound after lost,
// duplicate and late messages, pauses, restarts, partitions and outages of the platform.
func TestSpread(t *testing.T) {
	longest := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 10).Draw(t, "size"), rapid.IntRange(1, 4).Draw(t, "centres"), false)
		f.loss = 0.2
		randomNode := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				f.write(leavingObject(fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")), 0))
			},
			"delete": func(t *rapid.T) {
				f.write(control.Object{Name: fmt.Sprintf("leaving/vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")), Deleted: true})
			},
			"platform": func(*rapid.T) { f.platformDown, f.platformUpSince = !f.platformDown, f.now },
			"pause": func(t *rapid.T) {
				randomNode().pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(*rapid.T) { f.restart(randomNode()) },
			"cut": func(t *rapid.T) {
				sides := rapid.Uint16().Draw(t, "sides")
				side := map[*node]uint16{}
				for i, n := range f.nodes {
					side[n] = sides >> i & 1
				}
				f.isPartitioned = func(a, b *node) bool { return side[a] != side[b] }
			},
			"heal": func(*rapid.T) { f.isPartitioned = func(_, _ *node) bool { return false } },
			"run":  func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if len(f.regressions) > 0 {
					t.Fatalf("versions went back: %v", f.regressions)
				}
			},
		})
		f.isPartitioned = func(_, _ *node) bool { return false }
		if f.platformDown {
			f.platformDown, f.platformUpSince = false, f.now
		}
		for _, n := range f.nodes {
			n.pausedUntil = time.Time{}
		}
		f.loss = 0
		took, ok := f.runUntilConverged(inForceWithin)
		longest = max(longest, took)
		if !ok {
			t.Fatalf("not converged %s after the network and the platform recovered", inForceWithin)
		}
	})
	t.Logf("longest time until all directories had everything: %s", longest)
}

// spreadTime returns the longest time until a change is in force everywhere: while the
// network works, and after a partition whose smaller side was also cut off from the platform.
func spreadTime(t testing.TB, size int) (connected, afterPartition time.Duration) {
	f := newFleet(7, size, 1, true)
	f.run(2 * time.Second)
	for round := range 5 {
		f.write(leavingObject(fmt.Sprintf("vm-%d", round), 0))
		took, ok := f.runUntilConverged(inForceWithin)
		must.True(t, ok)
		connected = max(connected, took)
	}
	for round := range 3 {
		side := map[*node]bool{}
		for _, n := range f.nodes {
			side[n] = f.random.IntN(3) == 0
		}
		f.isPartitioned = func(a, b *node) bool { return side[a] != side[b] }
		f.cutFromPlatform = func(n *node) bool { return side[n] }
		f.run(10 * time.Second)
		f.write(leavingObject(fmt.Sprintf("cut-%d", round), 0))
		f.run(10 * time.Second)
		f.isPartitioned = func(_, _ *node) bool { return false }
		took, ok := f.runUntilConverged(inForceWithin)
		must.True(t, ok)
		must.Greater(t, 0, took)
		afterPartition = max(afterPartition, took)
		f.cutFromPlatform = func(*node) bool { return false }
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			must.Len(t, size, n.directory.Live("tvm"))
		}
	}
	return connected, afterPartition
}

// Guards against changes that take longer than the bound to reach all members of a data centre, with a working network
// and after a partition.
func TestSpreadTime(t *testing.T) {
	connected, afterPartition := spreadTime(t, 10)
	t.Logf("10 members: in force everywhere within %s, after a partition within %s", connected, afterPartition)
}
