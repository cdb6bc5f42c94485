package dispatch_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/retry"
)

// recordedStatements records the servers that have stated that they leave.
type recordedStatements struct {
	noTracking
	mu      sync.Mutex
	leaving []registry.Instance
}

func (s *recordedStatements) ObserveLeaving(_ time.Time, inst registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, inst)
}

// Guards against a statement that a process does not hear because another one has relayed the response.
func TestLeavingInRelayedResponse(t *testing.T) {
	for _, sharded := range []bool{true, false} {
		a := newServer(t, "a", handleOK)
		p := newPartition(func() *dispatch.Result {
			r := servedByPeer()
			r.Response.Header = http.Header{"Leaving": {"1"}}
			return r
		})
		p.begin()
		s := &recordedStatements{}
		f := newFixture(t, sharded, unlimited{}, ampleBudget, a)
		f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, s)
		if sharded {
			f.setOwner(a, false)
		}
		must.Eq(t, 200, f.call(traffic.NonIdempotent).Status)
		must.Eq(t, []registry.Instance{a.Instance}, s.leaving)
	}
}
