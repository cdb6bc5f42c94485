package cluster

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// partlyCut is a prober to which the servers behind a partition do not answer for a second.
type partlyCut struct{ reached netip.AddrPort }

func (p partlyCut) Reached(ctx context.Context, servers []netip.AddrPort) []bool {
	out := make([]bool, len(servers))
	for i, s := range servers {
		if out[i] = s == p.reached; !out[i] {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}
	return out
}

// Guards against a small VM that takes the coordinator's role because a large one waits for probes of
// servers behind a partition.
func TestReachIsKnownAtFirstServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode("a", newRestorableStore(), nil, 3)
		n.prober = partlyCut{reached: backendAddress(2)}
		begin := time.Now()
		must.True(t, n.reachesAny(t.Context(), []netip.AddrPort{backendAddress(0), backendAddress(1), backendAddress(2)}))
		must.Less(t, maxTakeoverDelay, time.Since(begin))
		// The other probes end.
		synctest.Wait()
		n.prober = partlyCut{}
		must.False(t, n.reachesAny(t.Context(), []netip.AddrPort{backendAddress(0), backendAddress(1)}))
		synctest.Wait()
	})
}
