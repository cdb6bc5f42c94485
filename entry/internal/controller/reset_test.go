package controller_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a controller that grants fences a second time after a reset of the
// succession record. The platform is down while the members change the table, and
// then all members are lost, so the new controller starts from an older table.
func TestReset(t *testing.T) {
	for seed := range uint64(3) {
		w := newSimulation(seed, 5, 5, 10)
		w.advance(4 * time.Second)
		w.platform.down = true
		w.otherLeaseholder().crash()
		w.advance(4 * time.Second)
		must.SliceEmpty(t, w.unserved())
		members := w.currentController().ctrl.Succession().Members
		for _, v := range w.vms {
			for _, m := range members {
				if v.member.Same(m) {
					v.crash()
				}
			}
		}
		w.endFaults()
		w.advance(10 * time.Second)
		must.SliceEmpty(t, w.unserved(), must.Sprint(w.describe()))
		must.Eq(t, "", w.oracle.failure)
		founded := w.currentController().ctrl.Succession().Founded
		must.Greater(t, 1, founded)
		for _, p := range w.currentController().ctrl.Table().Placements {
			must.GreaterEq(t, founded, p.Fence.Term())
		}
	}
}
