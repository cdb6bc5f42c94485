package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/control"
)

// inForceWithin is the stated bound for a change to be in force everywhere.
const inForceWithin = 10 * time.Second

// Guards against versions that go back, and against changes that do not reach every member
// in time after losses, duplicates, late messages, pauses, restarts, partitions and outages.
func TestSpread(t *testing.T) {
	longest := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 10).Draw(t, "size"), rapid.IntRange(1, 4).Draw(t, "centres"), false)
		f.loss = 0.2
		pick := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				f.write(leavingObject(fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")), 0))
			},
			"delete": func(t *rapid.T) {
				f.write(control.Object{Name: fmt.Sprintf("leaving/vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")), Deleted: true})
			},
			"platform": func(*rapid.T) { f.down, f.upSince = !f.down, f.now },
			"pause": func(t *rapid.T) {
				pick().paused = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(*rapid.T) { f.restart(pick()) },
			"cut": func(t *rapid.T) {
				sides := rapid.Uint16().Draw(t, "sides")
				side := map[*node]uint16{}
				for i, n := range f.nodes {
					side[n] = sides >> i & 1
				}
				f.cut = func(a, b *node) bool { return side[a] != side[b] }
			},
			"heal": func(*rapid.T) { f.cut = func(_, _ *node) bool { return false } },
			"run":  func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if len(f.problems) > 0 {
					t.Fatalf("versions went back: %v", f.problems)
				}
			},
		})
		f.cut = func(_, _ *node) bool { return false }
		if f.down {
			f.down, f.upSince = false, f.now
		}
		for _, n := range f.nodes {
			n.paused = time.Time{}
		}
		f.loss = 0
		took, ok := f.untilConverged(inForceWithin)
		longest = max(longest, took)
		if !ok {
			t.Fatalf("not converged %s after the network and the platform recovered", inForceWithin)
		}
	})
	t.Logf("longest time until all directories had everything: %s", longest)
}

// spreadTime returns the longest time until a change is in force everywhere, when the
// network works and after a partition whose smaller part was cut off from the platform.
func spreadTime(t testing.TB, size int) (calm, healed time.Duration) {
	f := newFleet(7, size, 1, true)
	f.run(2 * time.Second)
	for round := range 5 {
		f.write(leavingObject(fmt.Sprintf("vm-%d", round), 0))
		took, ok := f.untilConverged(inForceWithin)
		must.True(t, ok)
		calm = max(calm, took)
	}
	for round := range 3 {
		side := map[*node]bool{}
		for _, n := range f.nodes {
			side[n] = f.random.IntN(3) == 0
		}
		f.cut = func(a, b *node) bool { return side[a] != side[b] }
		f.blind = func(n *node) bool { return side[n] }
		f.run(10 * time.Second)
		f.write(leavingObject(fmt.Sprintf("cut-%d", round), 0))
		f.run(10 * time.Second)
		f.cut = func(_, _ *node) bool { return false }
		took, ok := f.untilConverged(inForceWithin)
		must.True(t, ok)
		must.Greater(t, 0, took)
		healed = max(healed, took)
		f.blind = func(*node) bool { return false }
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			must.Len(t, size, n.directory.Live("tvm"))
		}
	}
	return calm, healed
}

// Guards against changes that take longer than the bound to reach all members of a data centre.
func TestSpreadTime(t *testing.T) {
	calm, healed := spreadTime(t, 10)
	t.Logf("10 members: in force everywhere within %s, after a partition within %s", calm, healed)
}
