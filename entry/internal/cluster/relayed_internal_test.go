package cluster

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
	"bramleystand.org/platform"
)

// answeringRelay responds to all orders with the same outcome.
type answeringRelay struct {
	noReach
	outcome orderrelay.Outcome
}

func (r answeringRelay) Query(context.Context, netip.AddrPort, orderrelay.Query) (orderrelay.Answer, error) {
	return orderrelay.Answer{Clock: orderrelay.Clock{Incarnation: 1, SinceBoot: time.Hour}}, nil
}

func (r answeringRelay) Send(context.Context, netip.AddrPort, orderrelay.Order) (orderrelay.Report, error) {
	return orderrelay.Report{Outcome: r.outcome, Reason: "reason"}, nil
}

// Guards against orders that keep going through a process that no longer reaches the server, and against
// results that get another meaning on the way.
func TestRelayedResults(t *testing.T) {
	for outcome, c := range map[orderrelay.Outcome]struct {
		want  coordinator.Result
		keeps bool
	}{
		orderrelay.Executed:    {coordinator.Result{}, true},
		orderrelay.Fenced:      {coordinator.Result{Fenced: true}, true},
		orderrelay.Misdirected: {coordinator.Result{Misdirected: true}, true},
		orderrelay.NotSent:     {coordinator.Result{Unsent: true}, false},
		orderrelay.Late:        {coordinator.Result{Expired: true}, false},
		orderrelay.Unknown:     {coordinator.Result{}, false},
	} {
		n := newTestNode("n", newRestorableStore(), newRecordedGrants(), 1)
		n.relays = answeringRelay{outcome: outcome}
		s := newExecutor(n, election.Lock{Term: 1}, time.Now())
		n.executor = s
		other := election.Member{Name: "other"}
		s.contact.recordFailure(time.Now(), backend(0).Instance)
		must.True(t, s.contact.setRelay(backend(0).Instance, other))
		o := coordinator.Order{Server: backend(0), Keys: keyspace.Range{Last: 9}, Fence: 3, SendBy: time.Now().Add(time.Minute)}
		r := s.sendThrough(t.Context(), other, platform.Recipient{ID: o.Server.ID, Address: backendAddress(0)}, o)
		must.Eq(t, outcome == orderrelay.Executed, r.Err == nil)
		r.Err = nil
		must.Eq(t, c.want, r, must.Sprint("outcome ", outcome))
		_, kept := s.contact.relays[backend(0).Instance]
		must.Eq(t, c.keeps, kept, must.Sprint("outcome ", outcome))
	}
}
