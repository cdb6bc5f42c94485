package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/retry"
)

// partition is a reachability that tests set, and a relay that records its calls.
type partition struct {
	noTracking
	// result is what the relay returns; available tells whether it is available.
	result    func() *dispatch.Result
	available bool

	mu        sync.Mutex
	cutOff    bool
	unreached map[registry.Instance]bool
	attempts  []int
	connected context.Context
	cut       context.CancelFunc
}

func newPartition(result func() *dispatch.Result) *partition {
	p := &partition{result: result, available: true, unreached: make(map[registry.Instance]bool)}
	p.connected, p.cut = context.WithCancel(context.Background())
	return p
}

func (p *partition) begin() {
	p.mu.Lock()
	p.cutOff = true
	p.mu.Unlock()
	p.cut()
}

func (p *partition) Unreached(_ time.Time, s registry.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff || p.unreached[s.Instance]
}

func (p *partition) RecordUnreached(_ time.Time, s registry.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreached[s.Instance] = true
}

func (p *partition) Hanging(service string) bool { return p.CutOffFrom(service) }

func (p *partition) CutOffFrom(string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

func (p *partition) Connected(string) context.Context          { return p.connected }
func (p *partition) Available(time.Time, registry.Server) bool { return p.available }

func (p *partition) Do(_ context.Context, _ *dispatch.Call, _ registry.Server, attempts int) *dispatch.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, attempts)
	return p.result()
}

func servedByPeer() *dispatch.Result {
	return &dispatch.Result{Status: 200, Reason: dispatch.Answered, Attempts: 1, Server: "a", Peer: "p", Response: &origin.Response{Status: 200, HasServerProof: true}}
}

func lostByPeer() *dispatch.Result {
	return &dispatch.Result{Status: 502, Reason: dispatch.PeerLost, Attempts: 1, Peer: "p"}
}

func refusedByPeer() *dispatch.Result {
	return &dispatch.Result{Status: 503, Reason: dispatch.NoSlot, Peer: "p", RetryAt: time.Now().Add(time.Second)}
}

func notTaken() *dispatch.Result { return nil }

// partitionedFixture returns a fixture whose dispatcher uses the partition.
func partitionedFixture(t *testing.T, p *partition, sharded bool, servers ...*testServer) *fixture {
	f := newFixture(t, sharded, unlimited{}, ampleBudget, servers...)
	f.dispatcher = dispatch.New(f.view, unlimited{}, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, noTracking{})
	if sharded {
		f.setOwner(servers[0], false)
	}
	return f
}

// Guards against a call that is refused although another process reaches its server, one that is sent again
// although it may have run, and one that is sent more often than its route allows.
func TestUnreachedServerThroughPeer(t *testing.T) {
	for name, c := range map[string]struct {
		kind   traffic.Kind
		result func() *dispatch.Result
		status int
		// attempts are those that each relayed call may make, and direct the requests that this process
		// sends after the first refusal of a connection.
		attempts []int
	}{
		"served":                   {traffic.NonIdempotent, servedByPeer, 200, []int{2}},
		"refused":                  {traffic.NonIdempotent, refusedByPeer, 503, []int{2}},
		"lost, runs once":          {traffic.NonIdempotent, lostByPeer, 502, []int{2}},
		"lost, may run again":      {traffic.Idempotent, lostByPeer, 502, []int{2, 1}},
		"not taken by any process": {traffic.Idempotent, notTaken, 503, []int{2}},
	} {
		for _, sharded := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				a := newServer(t, "a", handleOK)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(t, err)
				must.NoError(t, l.Close())
				a.Address = l.Addr().(*net.TCPAddr).AddrPort()
				p := newPartition(c.result)
				r := partitionedFixture(t, p, sharded, a).call(c.kind)
				must.Eq(t, c.status, r.Status)
				must.Eq(t, c.attempts, p.attempts)
				if c.status == 200 {
					must.Eq(t, "p", r.Peer)
				}
				if c.status == 503 {
					must.Eq(t, 0, r.Attempts)
					must.False(t, r.RetryAt.IsZero())
				}
			})
		}
	}
}

// Guards against calls that go round in circles between processes that reach no server.
func TestRelayedCallIsNotRelayed(t *testing.T) {
	a := newServer(t, "a", handleOK)
	p := newPartition(servedByPeer)
	f := partitionedFixture(t, p, true, a)
	p.begin()
	must.Eq(t, dispatch.CutOff, f.dispatcher.CheckReach(time.Now(), "svc", a.Instance))
	route := *f.view.Configuration().Match("h", "/x")
	now := time.Now()
	r := f.dispatcher.DoRelayed(t.Context(), &dispatch.Call{
		ID: "id", Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"id"}}, Route: &route,
		Service: "svc", Arrived: now, Deadline: now.Add(time.Second), HasKey: true, Key: 7,
	})
	must.Eq(t, 200, r.Status)
	must.Eq(t, "", r.Peer)
	must.SliceEmpty(t, p.attempts)
}

// Guards against requests that hang at a server until their deadline after the process was found to be cut
// off, and hold its slots, and against a second run of a request that must run once.
func TestCutOffEndsRunningRequests(t *testing.T) {
	for _, c := range []struct {
		kind   traffic.Kind
		status int
		within time.Duration
	}{
		{traffic.Idempotent, 200, 300 * time.Millisecond},
		{traffic.NonIdempotent, 502, 950 * time.Millisecond},
	} {
		received, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		a := newServer(t, "a", func(int, http.ResponseWriter, *http.Request) {
			close(received)
			<-release
		})
		p := newPartition(servedByPeer)
		f := partitionedFixture(t, p, true, a)
		results := make(chan *dispatch.Result, 1)
		go func() { results <- f.call(c.kind) }()
		<-received
		begin := time.Now()
		p.begin()
		r := <-results
		must.Eq(t, c.status, r.Status)
		must.Less(t, c.within, time.Since(begin))
		must.Eq(t, 1, a.requests())
		must.Eq(t, c.status == 200, len(p.attempts) == 1)
	}
}

// Guards against a refusal, which says that the request has not run, after an earlier attempt may have run it.
func TestRefusalAfterUnknownAttempt(t *testing.T) {
	for name, closes := range map[string]bool{"connection refused": true, "no slot": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			a := newServer(t, "a", handleOK)
			a.Address = l.Addr().(*net.TCPAddr).AddrPort()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				if closes {
					_ = l.Close()
				}
				_ = c.Close()
			}()
			p := newPartition(notTaken)
			p.available = false
			f := partitionedFixture(t, p, true, a)
			var limiter dispatch.Limiter = &singleSlot{}
			if closes {
				limiter = unlimited{}
			}
			f.dispatcher = dispatch.New(f.view, limiter, retry.New(ampleBudget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, noTracking{}, p, p, noTracking{})
			r := f.call(traffic.Idempotent)
			must.Eq(t, http.StatusBadGateway, r.Status)
			must.Eq(t, 1, r.Attempts)
		})
	}
}

// singleSlot is a limiter with a slot for the first request only.
type singleSlot struct {
	noSlots
	used bool
}

func (s *singleSlot) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	if s.used {
		return s.noSlots.Acquire(ctx, r)
	}
	s.used = true
	return unlimitedSlot{}, nil
}
