package orderrelay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
)

var errTest = eris.New("failed")

// recordedGrants records the orders that it gets and fails with the given error.
type recordedGrants struct {
	mu     sync.Mutex
	orders []Order
	err    error
}

func (g *recordedGrants) record(o Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders = append(g.orders, o)
	return g.err
}

func (g *recordedGrants) Grant(_ context.Context, to platform.Recipient, keys keyspace.Range, fence uint64, hold time.Duration, handover string, _ uint64) (uint64, error) {
	return 1, g.record(Order{To: to, Keys: keys, Fence: fence, Hold: hold, Handover: handover})
}

func (g *recordedGrants) Release(_ context.Context, to platform.Recipient, keys keyspace.Range, fence uint64) (string, error) {
	return "handover", g.record(Order{To: to, Release: true, Keys: keys, Fence: fence})
}

// evenProber reaches the servers with an even port.
type evenProber struct{}

func (evenProber) Reached(_ context.Context, servers []netip.AddrPort) []bool {
	out := make([]bool, len(servers))
	for i, s := range servers {
		out[i] = s.Port()%2 == 0
	}
	return out
}

type noFallback struct{}

func (noFallback) HandleRPC(drpc.Stream, string) error { return errTest }

type tcpPeers struct{}

func (tcpPeers) Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

var recipient = platform.Recipient{ID: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}

// startServer serves a server on loopback until the test ends.
func startServer(t *testing.T, s *Server) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(s).Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-served })
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against fields that are lost on the way to another process and back, and against an outcome with
// another meaning.
func TestOrderThroughProcess(t *testing.T) {
	grants := &recordedGrants{}
	s := NewServer(7, evenProber{}, grants, noFallback{})
	address := startServer(t, s)
	c := NewClient(tcpPeers{})
	defer c.Close()
	answer, err := c.Query(t.Context(), address, Query{Servers: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.1:81")}})
	must.NoError(t, err)
	must.Eq(t, []bool{true, false}, answer.Reached)
	must.Eq(t, int64(7), answer.Clock.Incarnation)
	grant := Order{To: recipient, Keys: keyspace.Range{First: 3, Last: 9}, Fence: 12, Hold: 3 * time.Second, Handover: "h", Timeout: time.Second}
	release := Order{To: recipient, Release: true, Keys: keyspace.Range{First: 3, Last: 9}, Fence: 12, Timeout: time.Second}
	sent := grant
	sent.SendBefore = SendBefore(answer.Clock, time.Now(), time.Now().Add(time.Minute))
	for _, o := range []Order{sent, release} {
		r, err := c.Send(t.Context(), address, o)
		must.NoError(t, err)
		must.Eq(t, Executed, r.Outcome, must.Sprint(r.Reason))
		must.Eq(t, o.Release, r.Handover == "handover")
		must.Greater(t, answer.Clock.SinceBoot, r.Clock.SinceBoot)
	}
	for i := range grants.orders {
		grants.orders[i].Timeout = time.Second
	}
	must.Eq(t, []Order{grant, release}, grants.orders)
	for outcome, cause := range map[Outcome]error{NotSent: platform.ErrNotSent, Fenced: platform.ErrFenced, Misdirected: platform.ErrMisdirected, Unknown: errTest} {
		grants.err = eris.Wrap(cause, "order")
		r, err := c.Send(t.Context(), address, sent)
		must.NoError(t, err)
		must.Eq(t, outcome, r.Outcome)
		must.NotEq(t, "", r.Reason)
	}
	_, err = c.Send(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), sent)
	must.ErrorIs(t, err, ErrNotReached)
}

// Guards against a grant that is sent late, because it was queued, the VM was suspended before or while its
// connection was opened, or because the process or its VM has started again.
func TestLateOrderNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation  int64
		wait, freeze time.Duration
		clockErr     error
		want         Outcome
	}{
		"in time":             {7, 100 * time.Millisecond, 0, nil, Executed},
		"queued":              {7, 151 * time.Millisecond, 0, nil, Late},
		"suspended":           {7, 0, time.Hour, nil, Late},
		"restarted":           {8, 0, 0, nil, Late},
		"clock can't be read": {7, 0, 0, errTest, Late},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			grants := &recordedGrants{}
			s := NewServer(c.incarnation, evenProber{}, grants, noFallback{})
			s.now = func() (time.Duration, error) { return now, c.clockErr }
			o := Order{To: recipient, Timeout: time.Second, SendBefore: Clock{Incarnation: 7, SinceBoot: now + 150*time.Millisecond}}
			now += c.wait
			checking := &checkingGrants{recordedGrants: grants, freeze: func() { now += c.freeze }}
			s.grants = checking
			must.Eq(t, c.want, s.send(t.Context(), o).Outcome)
			must.Eq(t, c.want == Executed, checking.sent)
			o.Release = true
			must.Eq(t, Executed, s.send(t.Context(), o).Outcome, must.Sprint("a release may be late"))
		})
	}
}

// checkingGrants runs the check of a call's context after a pause, as a GrantClient does.
type checkingGrants struct {
	*recordedGrants
	freeze func()
	sent   bool
}

func (g *checkingGrants) Grant(ctx context.Context, to platform.Recipient, keys keyspace.Range, fence uint64, hold time.Duration, handover string, connection uint64) (uint64, error) {
	g.freeze()
	if err := platform.SendCheck(ctx); err != nil {
		return 0, err
	}
	g.sent = true
	return g.recordedGrants.Grant(ctx, to, keys, fence, hold, handover, connection)
}

// Guards against an order that is sent after its time because the clocks of two VMs differ in speed, or
// because one of the VMs was suspended.
func TestSendBeforeBoundsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		// The times are real times since the reading, and the clock of the other VM is up to 2% slower than
		// that of the coordinator.
		slow := time.Duration(rapid.IntRange(0, maxDriftPercent).Draw(t, "drift"))
		receivedAfter := milliseconds("response", 400)
		suspended := milliseconds("suspended", 5000)
		orderedAfter := receivedAfter + suspended + milliseconds("order", 1000)
		const margin = 150 * time.Millisecond
		received := time.Unix(1000, 0)
		// The coordinator's clock stops while its VM is suspended.
		ordered := received.Add(orderedAfter - receivedAfter - suspended)
		before := SendBefore(Clock{Incarnation: 1, SinceBoot: time.Hour}, received, ordered.Add(margin))
		sentAfter := orderedAfter + milliseconds("delay", 2000)
		otherClock := time.Hour + sentAfter*(100-slow)/100
		if otherClock <= before.SinceBoot && sentAfter > orderedAfter+margin {
			t.Fatalf("sent %s after the order", sentAfter-orderedAfter)
		}
		if suspended == 0 && receivedAfter == 0 && slow == 0 && sentAfter == orderedAfter && otherClock > before.SinceBoot {
			t.Fatalf("an order is refused that is in time")
		}
	})
}
