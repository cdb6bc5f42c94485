package controller_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recoveryLimit is how long shards may be unserved after a single loss.
const recoveryLimit = 3 * time.Second

// lossSeeds returns the number of simulated losses for each case, few in CI.
func lossSeeds(t *testing.T) uint64 {
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
	cases := map[string]func(*world){
		"server":      func(w *world) { w.servers[w.random.IntN(len(w.servers))].kill() },
		"frozen":      func(w *world) { w.servers[w.random.IntN(len(w.servers))].freeze() },
		"leaseholder": func(w *world) { w.other().crash() },
		"controller":  func(w *world) { w.controller().crash() },
		"paused":      func(w *world) { w.controller().pause() },
	}
	for name, lose := range cases {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/down=%v", name, down), func(t *testing.T) {
				t.Parallel()
				var longest, sum time.Duration
				seeds := lossSeeds(t)
				for seed := range seeds {
					w := newWorld(seed, 5, 5, 20)
					w.advance(4 * time.Second)
					must.SliceEmpty(t, w.unserved(), must.Sprintf("before the loss, seed %d", seed))
					w.platform.down = down
					w.advance(w.between(0, 2*time.Second))
					lose(w)
					took, ok := w.settle(recoveryLimit)
					must.True(t, ok, must.Sprintf("seed %d: %v %s", seed, w.unserved(), w.describe()))
					w.advance(2 * time.Second)
					must.SliceEmpty(t, w.unserved(), must.Sprintf("after recovery, seed %d", seed))
					w.heal()
					w.advance(time.Second)
					must.Eq(t, "", w.oracle.failure)
					longest, sum = max(longest, took), sum+took
				}
				t.Logf("%s: unserved mean %v, longest %v", t.Name(), (sum / time.Duration(seeds)).Round(time.Millisecond), longest.Round(time.Millisecond))
			})
		}
	}
}
