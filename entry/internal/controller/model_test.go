package controller_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against sequences of faults after which two leaseholders may send requests
// for the same shard, a fence is used twice or a committed table is lost, and against
// shards that stay unserved after the faults have ended.
func TestModel(t *testing.T) {
	var checks, steps, invariantChecks int
	var simulated time.Duration
	defer func() {
		t.Logf("%d sequences, %d steps, %d invariant checks, %v simulated", checks, steps, invariantChecks, simulated.Round(time.Second))
	}()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{5, 4, 3, 2, 1}).Draw(t, "vms"), 5, 10)
		for i := range rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "remote") {
			w.addRemote(i)
		}
		w.advance(rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(t, "warmup"))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		checks++
		defer func() { invariantChecks, simulated = invariantChecks+w.oracle.checks, simulated+w.now }()
		step := func() {
			steps++
			w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if w.oracle.failure != "" {
				t.Fatal(w.oracle.failure)
			}
		}
		nodes := []string{"platform"}
		for _, v := range w.vms {
			nodes = append(nodes, v.name)
		}
		for _, s := range w.servers {
			nodes = append(nodes, s.name)
		}
		actions := map[string]func(*rapid.T){
			"wait": func(*rapid.T) { step() },
			"network": func(t *rapid.T) {
				w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
				w.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
				w.longDelay = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
				step()
			},
			"cut": func(*rapid.T) {
				w.blocked[[2]string{nodes[pick(len(nodes))], nodes[pick(len(nodes))]}] = true
				step()
			},
			"isolate": func(*rapid.T) {
				v := w.vms[pick(len(w.vms))]
				for _, p := range nodes {
					w.blocked[[2]string{v.name, p}] = p != v.name
				}
				step()
			},
			"divide": func(*rapid.T) {
				if c := w.currentController(); c != nil {
					for _, m := range c.ctrl.Succession().Members {
						w.blocked[[2]string{c.name, m.Name}] = m.Name != c.name && rapid.Bool().Draw(t, "cut")
					}
					if rapid.Bool().Draw(t, "quit") {
						w.resignAndRestart(c)
					}
				}
				step()
			},
			"join":     func(*rapid.T) { clear(w.blocked); step() },
			"pause":    func(*rapid.T) { w.vms[pick(len(w.vms))].pause(); step() },
			"resume":   func(*rapid.T) { w.vms[pick(len(w.vms))].resume(); step() },
			"crash":    func(*rapid.T) { w.vms[pick(len(w.vms))].crash(); step() },
			"remove":   func(*rapid.T) { w.remove(pick(len(w.vms))); step() },
			"restart":  func(*rapid.T) { w.restart(pick(len(w.vms))); step() },
			"resign":   func(*rapid.T) { w.resign(pick(len(w.vms))); step() },
			"platform": func(*rapid.T) { w.platform.down = !w.platform.down; step() },
			"answers":  func(*rapid.T) { w.platform.losesResponses = !w.platform.losesResponses; step() },
			"freeze":   func(*rapid.T) { w.servers[pick(len(w.servers))].freeze(); step() },
			"thaw":     func(*rapid.T) { w.servers[pick(len(w.servers))].thaw(); step() },
			"kill":     func(*rapid.T) { w.servers[pick(len(w.servers))].kill(); step() },
			"revive":   func(*rapid.T) { w.servers[pick(len(w.servers))].restart(); step() },
			"leave": func(*rapid.T) {
				name := w.servers[pick(len(w.servers))].name
				w.setLeaving(name, !w.leaving[name])
				step()
			},
			"heal": func(*rapid.T) { w.endFaults(); step() },
		}
		t.Repeat(actions)
		w.endFaults()
		for _, s := range w.servers {
			s.restart()
			w.setLeaving(s.name, false)
		}
		recovery, ok := w.advanceUntilServed(15 * time.Second)
		if w.oracle.failure != "" {
			t.Fatal(w.oracle.failure)
		}
		if !ok {
			t.Fatalf("%d shards unserved %v after the faults: %s", len(w.unserved()), recovery, w.describe())
		}
	})
}
