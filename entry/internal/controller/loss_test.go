package controller_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxRecovery is how long shards may be unserved after a single loss.
const maxRecovery = 3 * time.Second

// lossSeedCount returns the number of simulated losses for each case. The default is small so that CI is fast.
func lossSeedCount(t *testing.T) uint64 {
	text, ok := os.LookupEnv("BRAMLEY_LOSS_SEEDS")
	if !ok {
		return 2
	}
	n, err := strconv.ParseUint(text, 10, 32)
	must.NoError(t, err)
	return n
}

// Guards against shards that stay unserved longer than 3 s after the loss of one
// backend server, leaseholder or controller, with the platform up and down.
func TestLoss(t *testing.T) {
	cases := map[string]func(*simulation){
		"server killed":       func(w *simulation) { w.servers[w.random.IntN(len(w.servers))].kill() },
		"server frozen":       func(w *simulation) { w.servers[w.random.IntN(len(w.servers))].freeze() },
		"leaseholder crashed": func(w *simulation) { w.otherLeaseholder().crash() },
		"controller crashed":  func(w *simulation) { w.currentController().crash() },
		"controller paused":   func(w *simulation) { w.currentController().pause() },
	}
	for name, lose := range cases {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/platform down=%v", name, down), func(t *testing.T) {
				t.Parallel()
				var longest, sum time.Duration
				seedCount := lossSeedCount(t)
				for seed := range seedCount {
					w := newSimulation(seed, 5, 5, 20)
					w.advance(4 * time.Second)
					must.SliceEmpty(t, w.unserved(), must.Sprintf("before the loss, seed %d", seed))
					w.platform.down = down
					w.advance(w.randomDuration(0, 2*time.Second))
					lose(w)
					recovery, ok := w.advanceUntilServed(maxRecovery)
					must.True(t, ok, must.Sprintf("seed %d: %v %s", seed, w.unserved(), w.describe()))
					w.advance(2 * time.Second)
					must.SliceEmpty(t, w.unserved(), must.Sprintf("after recovery, seed %d", seed))
					w.endFaults()
					w.advance(time.Second)
					must.Eq(t, "", w.oracle.failure)
					longest, sum = max(longest, recovery), sum+recovery
				}
				t.Logf("%s: unserved mean %v, longest %v", t.Name(), (sum / time.Duration(seedCount)).Round(time.Millisecond), longest.Round(time.Millisecond))
			})
		}
	}
}
