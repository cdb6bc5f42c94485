package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/relay"
	"bramleystand.org/entry/internal/rpc"
)

// testPeer is a process that handles relayed calls.
type testPeer struct {
	election.Member
	// handle returns the result of a call.
	handle func(ctx context.Context, c *dispatch.Call) *dispatch.Result
	// unreachable is why the process doesn't reach a server; empty if it does.
	unreachable dispatch.Reason
	relay       *relay.Server
	server      *drpcserver.Server
	// silent is closed when the process is lost without a sign.
	silent chan struct{}
	ctx    context.Context

	mu    sync.Mutex
	calls int
}

func (p *testPeer) CheckReach(time.Time, string, registry.Instance) dispatch.Reason {
	return p.unreachable
}

func (p *testPeer) DoRelayed(ctx context.Context, c *dispatch.Call) *dispatch.Result {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	return p.handle(ctx, c)
}

func (p *testPeer) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// noCalls implements the calls of other protocols.
type noCalls struct{}

func (noCalls) HandleRPC(drpc.Stream, string) error { return nil }

// startPeer starts a process that can be connected to until the test ends.
func startPeer(t *testing.T, name, centre string, handle func(context.Context, *dispatch.Call) *dispatch.Result) *testPeer {
	number := uint16(name[0])
	p := &testPeer{
		Member: election.Member{Name: name, DataCentre: centre, Address: netip.AddrPortFrom(netip.IPv6Loopback(), number)},
		handle: handle, silent: make(chan struct{}), ctx: t.Context(),
	}
	p.relay = relay.NewServer(p, noCalls{}, 24<<20)
	handler := rpc.Recovering{Handler: p.relay, Logger: &log.Logger{Handler: discard.New()}}
	p.server = drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: rpc.Manager})
	return p
}

// connections connects to processes with pipes, so that time passes only while nothing is on its way.
type connections map[netip.AddrPort]*testPeer

func (c connections) Dial(_ context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	p := c[to]
	near, far := net.Pipe()
	go func() { _ = p.server.ServeOne(p.ctx, far) }()
	return &rpc.Conn{Conn: drpcconn.NewWithOptions(&silentConn{Conn: near, silent: p.silent}, drpcconn.Options{Manager: rpc.Manager})}, nil
}

// silentConn is a connection that passes nothing on once silent is closed.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// members implements relay.Members.
type members struct {
	all    []election.Member
	cutOff map[string]bool
}

func (m *members) Members() []election.Member     { return m.all }
func (m *members) CutOffMembers() map[string]bool { return m.cutOff }

// newClient returns the client of a process "self" in the data centre x.
func newClient(t *testing.T, peers ...*testPeer) (*relay.Client, *members) {
	self := election.Member{Name: "self", DataCentre: "x"}
	m := &members{all: []election.Member{self}, cutOff: map[string]bool{}}
	c := make(connections)
	for _, p := range peers {
		m.all = append(m.all, p.Member)
		c[p.Address] = p
	}
	client := relay.NewClient(self, m, c, &log.Logger{Handler: discard.New()})
	t.Cleanup(func() { _ = client.Close() })
	return client, m
}

var server = registry.Server{Instance: registry.Instance{ID: "s", Incarnation: 5}, Service: "svc", DataCentre: "y"}

func newCall(body string) *dispatch.Call {
	now := time.Now()
	return &dispatch.Call{
		ID: "id-\xff", Method: "POST", Target: "/a?b=\xfe", Host: "h", Header: http.Header{"X-A": {"1", "\xfd"}, "X-B": {""}},
		Body: []byte(body), HasBody: true, Key: 65535, HasKey: true, Service: "svc",
		Route:   &traffic.Route{Name: "r", Kind: traffic.NonIdempotent, Rank: 3, Objective: 700 * time.Millisecond, Attempts: 4},
		Arrived: now.Add(-100 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

func served(body string) *dispatch.Result {
	return &dispatch.Result{
		Status: 201, Reason: dispatch.Answered, Attempts: 1, Server: "s",
		Response: &origin.Response{Status: 201, Header: http.Header{"Proof": {"\xfcp"}, "Many": {"a", "b"}}, Body: []byte(body), HasServerProof: true},
	}
}

func refused(reason dispatch.Reason) *dispatch.Result {
	return &dispatch.Result{Status: http.StatusServiceUnavailable, Reason: reason, RetryAt: time.Now().Add(900 * time.Millisecond)}
}

// Guards against calls and responses that are changed on the way, and against bodies that lose chunks.
func TestCallAndResponseAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 32<<10 + 1, 5 << 20} {
		synctest.Test(t, func(t *testing.T) { testWhole(t, size) })
	}
}

func testWhole(t *testing.T, size int) {
	body := strings.Repeat("b", size)
	sent := newCall(body)
	got := make(chan *dispatch.Call, 1)
	p := startPeer(t, "p", "x", func(_ context.Context, c *dispatch.Call) *dispatch.Result {
		got <- c
		return served(body + "!")
	})
	client, _ := newClient(t, p)
	r := client.Do(t.Context(), sent, server, 2)
	c := <-got
	must.Eq(t, sent.ID, c.ID)
	must.Eq(t, sent.Target, c.Target)
	must.Eq(t, sent.Method, c.Method)
	must.Eq(t, sent.Host, c.Host)
	must.Eq(t, sent.Header, c.Header)
	must.True(t, body == string(c.Body))
	must.True(t, c.HasBody && c.HasKey)
	must.Eq(t, keyspace.Key(65535), c.Key)
	must.Eq(t, traffic.NonIdempotent, c.Route.Kind)
	must.Eq(t, 3, c.Route.Rank)
	must.Eq(t, 2, c.Route.Attempts)
	must.Less(t, 50*time.Millisecond, c.Deadline.Sub(sent.Deadline).Abs())
	must.Less(t, 50*time.Millisecond, c.Arrived.Sub(sent.Arrived).Abs())
	must.Eq(t, 201, r.Status)
	must.Eq(t, served("").Response.Header, r.Response.Header)
	must.True(t, body+"!" == string(r.Response.Body))
	must.Eq(t, "p", r.Peer)
	must.Eq(t, 1, r.Attempts)
}

// Guards against a call that is not served because the first process can't take it, and against one that is
// sent to another process although it may have run.
func TestAnotherProcessIsTried(t *testing.T) {
	const deadline = 2 * time.Second
	for name, c := range map[string]struct {
		first       func(context.Context, *dispatch.Call) *dispatch.Result
		unreachable dispatch.Reason
		// elsewhere is true if another process must serve the call.
		elsewhere bool
		reason    dispatch.Reason
	}{
		"the first is cut off too": {nil, dispatch.CutOff, true, dispatch.Answered},
		"it fails to connect":      {func(context.Context, *dispatch.Call) *dispatch.Result { return refused(dispatch.Unreachable) }, "", true, dispatch.Answered},
		"it stops":                 {func(context.Context, *dispatch.Call) *dispatch.Result { return refused(dispatch.Stopping) }, "", true, dispatch.Answered},
		"the server is full":       {func(context.Context, *dispatch.Call) *dispatch.Result { return refused(dispatch.NoSlot) }, "", false, dispatch.NoSlot},
		"the outcome is unknown": {func(context.Context, *dispatch.Call) *dispatch.Result {
			return &dispatch.Result{Status: 502, Reason: dispatch.UnusableResponse, Attempts: 1}
		}, "", false, dispatch.UnusableResponse},
		"it panics": {func(context.Context, *dispatch.Call) *dispatch.Result { panic("unexpected") }, "", false, dispatch.PeerLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The first process is in the data centre of the server, so it is asked first.
				first := startPeer(t, "first", "y", c.first)
				first.unreachable = c.unreachable
				second := startPeer(t, "second", "z", func(context.Context, *dispatch.Call) *dispatch.Result { return served("x") })
				client, _ := newClient(t, second, first)
				begin := time.Now()
				r := client.Do(t.Context(), newCall("body"), server, 2)
				must.Eq(t, c.reason, r.Reason)
				must.Eq(t, c.elsewhere, second.callCount() == 1)
				must.Less(t, deadline, time.Since(begin))
				if c.reason == dispatch.NoSlot {
					must.Greater(t, 700*time.Millisecond, time.Until(r.RetryAt))
				}
				if r.Status == http.StatusServiceUnavailable {
					must.Eq(t, 0, r.Attempts)
				} else {
					must.Eq(t, 1, r.Attempts)
				}
			})
		})
	}
}

// Guards against a call that waits for a lost process until its deadline or is sent again after it may have
// run, and against one that is not sent elsewhere although the lost process can't have got it.
func TestLostProcess(t *testing.T) {
	for name, running := range map[string]bool{"before the call": false, "while the call runs": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lost := startPeer(t, "lost", "y", nil)
				lost.handle = func(ctx context.Context, c *dispatch.Call) *dispatch.Result {
					if c.ID == "last" {
						close(lost.silent)
						<-ctx.Done()
					}
					return served("x")
				}
				other := startPeer(t, "other", "z", func(context.Context, *dispatch.Call) *dispatch.Result { return served("x") })
				client, _ := newClient(t, lost, other)
				// The first call leaves an idle connection.
				must.Eq(t, "lost", client.Do(t.Context(), newCall("body"), server, 2).Peer)
				call := newCall("body")
				call.ID = "last"
				if !running {
					close(lost.silent)
				}
				begin := time.Now()
				r := client.Do(t.Context(), call, server, 2)
				must.Less(t, time.Second, time.Since(begin))
				if running {
					must.Eq(t, dispatch.PeerLost, r.Reason)
					must.Eq(t, http.StatusBadGateway, r.Status)
					must.Eq(t, 1, r.Attempts)
					must.Eq(t, 0, other.callCount())
					return
				}
				must.Eq(t, "other", r.Peer)
				must.Eq(t, 1, lost.callCount())
				// The next calls don't wait for it.
				begin = time.Now()
				must.Eq(t, "other", client.Do(t.Context(), newCall("body"), server, 2).Peer)
				must.Less(t, 50*time.Millisecond, time.Since(begin))
			})
		})
	}
}

// Guards against a call that still runs half a second after its client has left.
func TestCancelReachesProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, ended := make(chan struct{}), make(chan struct{})
		p := startPeer(t, "p", "x", func(ctx context.Context, _ *dispatch.Call) *dispatch.Result {
			close(running)
			<-ctx.Done()
			close(ended)
			return refused(dispatch.ClientDisconnected)
		})
		client, _ := newClient(t, p)
		ctx, cancel := context.WithCancel(t.Context())
		go client.Do(ctx, newCall("body"), server, 2)
		<-running
		cancel()
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("the call still runs")
		}
	})
}

// Guards against bodies that take more memory than is left, here and at the process that handles the call.
func TestMemoryForBodies(t *testing.T) {
	t.Run("response", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := startPeer(t, "p", "x", func(context.Context, *dispatch.Call) *dispatch.Result {
				return served(strings.Repeat("b", 1<<20))
			})
			client, _ := newClient(t, p)
			budget := bodybudget.New(1 << 20)
			call := newCall("")
			call.Memory = budget.Open()
			must.Eq(t, 201, client.Do(t.Context(), call, server, 2).Status)
			must.Eq(t, 1<<20, budget.Used())
			second := newCall("")
			second.Memory = budget.Open()
			must.Eq(t, http.StatusBadGateway, client.Do(t.Context(), second, server, 2).Status)
			call.Memory.Close()
			second.Memory.Close()
			must.Eq(t, 0, budget.Used())
		})
	})
	t.Run("requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			release := make(chan struct{})
			p := startPeer(t, "p", "x", func(context.Context, *dispatch.Call) *dispatch.Result {
				<-release
				return served("")
			})
			client, _ := newClient(t, p)
			large := strings.Repeat("b", 10<<20)
			statuses := make(chan int, 3)
			for range 3 {
				go func() { statuses <- client.Do(t.Context(), newCall(large), server, 2).Status }()
			}
			must.Eq(t, http.StatusServiceUnavailable, <-statuses)
			close(release)
			must.Eq(t, 201, <-statuses)
			must.Eq(t, 201, <-statuses)
			synctest.Wait()
			must.Eq(t, 201, client.Do(t.Context(), newCall(large), server, 2).Status)
		})
	})
}

// Guards against calls through processes that are cut off themselves, and against one more message for each
// call while no process reaches a server.
func TestAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPeer(t, "p", "x", nil)
		p.unreachable = dispatch.Unreachable
		client, m := newClient(t, p)
		must.True(t, client.Available(time.Now(), server))
		m.cutOff["p"] = true
		must.False(t, client.Available(time.Now(), server))
		must.Nil(t, client.Do(t.Context(), newCall("body"), server, 2))
		delete(m.cutOff, "p")
		r := client.Do(t.Context(), newCall("body"), server, 2)
		must.Eq(t, dispatch.Unreachable, r.Reason)
		must.Eq(t, http.StatusServiceUnavailable, r.Status)
		must.False(t, client.Available(time.Now(), server))
		must.True(t, client.Available(time.Now().Add(time.Second), server))
		must.Eq(t, 0, p.callCount())
	})
}

// Guards against a process that stops before the calls of other processes have ended, that waits for ever, or
// that accepts further ones.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		p := startPeer(t, "p", "y", func(context.Context, *dispatch.Call) *dispatch.Result {
			<-release
			return served("")
		})
		other := startPeer(t, "other", "z", func(context.Context, *dispatch.Call) *dispatch.Result { return served("") })
		client, _ := newClient(t, p, other)
		results := make(chan *dispatch.Result, 1)
		go func() { results <- client.Do(t.Context(), newCall("body"), server, 2) }()
		synctest.Wait()
		p.relay.Stop()
		p.relay.Stop()
		for range 2 {
			must.Eq(t, "other", client.Do(t.Context(), newCall("body"), server, 2).Peer)
		}
		must.Eq(t, 1, p.callCount())
		bounded, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		p.relay.Wait(bounded)
		must.Eq(t, time.Second, time.Since(begin))
		time.AfterFunc(3*time.Second, func() { close(release) })
		p.relay.Wait(t.Context())
		must.Eq(t, 4*time.Second, time.Since(begin))
		must.Eq(t, "p", (<-results).Peer)
	})
}
