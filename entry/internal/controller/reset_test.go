package controller_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a controller that, after a reset, grants the fences of a table
// older than the one by which the lost members granted.
func TestReset(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, 5, 5, 10)
		w.advance(4 * time.Second)
		w.platform.down = true
		w.other().crash()
		w.advance(4 * time.Second)
		must.SliceEmpty(t, w.unserved())
		members := w.controller().ctrl.Succession().Members
		for _, v := range w.vms {
			for _, m := range members {
				if v.member.Same(m) {
					v.crash()
				}
			}
		}
		w.heal()
		w.advance(10 * time.Second)
		must.SliceEmpty(t, w.unserved(), must.Sprint(w.describe()))
		must.Eq(t, "", w.oracle.failure)
		founded := w.controller().ctrl.Succession().Founded
		must.Greater(t, 1, founded)
		for _, p := range w.controller().ctrl.Table().Placements {
			must.GreaterEq(t, founded, p.Fence.Term())
		}
	}
}
