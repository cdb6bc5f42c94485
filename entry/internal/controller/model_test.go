package controller_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against any sequence of faults in which two leaseholders may send for a
// shard, a fence repeats or a table in force is lost, and against shards that stay
// unserved when the faults have ended.
func TestModel(t *testing.T) {
	var checks, steps, looks int
	var simulated time.Duration
	defer func() {
		t.Logf("%d checks, %d steps, %d looks of the oracle, %v simulated", checks, steps, looks, simulated.Round(time.Second))
	}()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{5, 4, 3, 2, 1}).Draw(t, "vms"), 5, 10)
		for i := range rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "remote") {
			w.addRemote(i)
		}
		w.advance(rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(t, "warmup"))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		checks++
		defer func() { looks, simulated = looks+w.oracle.checks, simulated+w.now }()
		step := func() {
			steps++
			w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if w.oracle.failure != "" {
				t.Fatal(w.oracle.failure)
			}
		}
		parties := []string{"platform"}
		for _, v := range w.vms {
			parties = append(parties, v.name)
		}
		for _, s := range w.servers {
			parties = append(parties, s.name)
		}
		actions := map[string]func(*rapid.T){
			"wait": func(*rapid.T) { step() },
			"network": func(t *rapid.T) {
				w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
				w.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
				w.slow = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
				step()
			},
			"cut": func(*rapid.T) {
				w.cut[[2]string{parties[pick(len(parties))], parties[pick(len(parties))]}] = true
				step()
			},
			"isolate": func(*rapid.T) {
				v := w.vms[pick(len(w.vms))]
				for _, p := range parties {
					w.cut[[2]string{v.name, p}] = p != v.name
				}
				step()
			},
			"divide": func(*rapid.T) {
				if c := w.controller(); c != nil {
					for _, m := range c.ctrl.Succession().Members {
						w.cut[[2]string{c.name, m.Name}] = m.Name != c.name && rapid.Bool().Draw(t, "cut")
					}
					if rapid.Bool().Draw(t, "quit") {
						w.quit(c)
					}
				}
				step()
			},
			"join":     func(*rapid.T) { clear(w.cut); step() },
			"pause":    func(*rapid.T) { w.vms[pick(len(w.vms))].pause(); step() },
			"resume":   func(*rapid.T) { w.vms[pick(len(w.vms))].resume(); step() },
			"crash":    func(*rapid.T) { w.vms[pick(len(w.vms))].crash(); step() },
			"remove":   func(*rapid.T) { w.remove(pick(len(w.vms))); step() },
			"restart":  func(*rapid.T) { w.restart(pick(len(w.vms))); step() },
			"resign":   func(*rapid.T) { w.resign(pick(len(w.vms))); step() },
			"platform": func(*rapid.T) { w.platform.down = !w.platform.down; step() },
			"answers":  func(*rapid.T) { w.platform.lossy = !w.platform.lossy; step() },
			"freeze":   func(*rapid.T) { w.servers[pick(len(w.servers))].freeze(); step() },
			"thaw":     func(*rapid.T) { w.servers[pick(len(w.servers))].thaw(); step() },
			"kill":     func(*rapid.T) { w.servers[pick(len(w.servers))].kill(); step() },
			"revive":   func(*rapid.T) { w.servers[pick(len(w.servers))].restart(); step() },
			"leave": func(*rapid.T) {
				name := w.servers[pick(len(w.servers))].name
				w.mark(name, !w.leaving[name])
				step()
			},
			"heal": func(*rapid.T) { w.heal(); step() },
		}
		t.Repeat(actions)
		w.heal()
		for _, s := range w.servers {
			s.restart()
			w.mark(s.name, false)
		}
		took, ok := w.settle(15 * time.Second)
		if w.oracle.failure != "" {
			t.Fatal(w.oracle.failure)
		}
		if !ok {
			t.Fatalf("%d shards unserved %v after the faults: %s", len(w.unserved()), took, w.describe())
		}
	})
}
