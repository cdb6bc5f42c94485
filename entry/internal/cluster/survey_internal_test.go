package cluster

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
)

// slowProber reaches no server and takes a quarter of a second to find out.
type slowProber struct{ noReach }

func (p slowProber) Reached(ctx context.Context, servers []netip.AddrPort) []bool {
	time.Sleep(250 * time.Millisecond)
	return p.noReach.Reached(ctx, servers)
}

// Guards against a process that takes the lock before it knows whether it reaches servers.
func TestCandidateChecksReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode("n", newRestorableStore(), newRecordedGrants(), 2)
		n.prober = slowProber{}
		n.members = []election.Member{n.self, {Name: "other"}}
		var group sync.WaitGroup
		defer group.Wait()
		mayTake := func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.mayTakeLock(t.Context(), &group, time.Now())
		}
		for range 4 {
			must.False(t, mayTake())
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		group.Wait()
		must.True(t, n.reach.cutOff)
		must.True(t, mayTake(), must.Sprint("it takes the lock later than others, but it does"))
	})
}
