package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/peer"
)

// network connects a client with a server by pipes, which a synctest bubble can wait for.
type network struct {
	accepted chan net.Conn
	closed   chan struct{}
	// generation is raised to silence all connections opened so far.
	generation atomic.Int64
}

func (n *network) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.accepted <- server
	return &pipe{client, n, n.generation.Load()}, nil
}

func (n *network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *network) Close() error {
	close(n.closed)
	return nil
}

func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// pipe loses what is written to it once it is silent.
type pipe struct {
	net.Conn
	network    *network
	generation int64
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.generation < p.network.generation.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// silenced runs a test with a client whose requests take a given time, in a bubble.
func silenced(t *testing.T, takes time.Duration, test func(t *testing.T, n *network, c *peer.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{accepted: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		handle := handlerFunc(func(context.Context, *exchange.Request) *exchange.Response {
			<-time.After(takes)
			return exchange.Text(outcome.Ran, http.StatusOK, "answer")
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = peer.NewServer(handle, echo{}, &log.Logger{Handler: discard.New()}).Serve(ctx, n)
		}()
		c := peer.NewClient(n)
		test(t, n, c)
		_ = c.Close()
		cancel()
		<-done
	})
}

func lookup(t *testing.T, c *peer.Client) (outcome.Outcome, time.Duration) {
	t.Helper()
	start := time.Now()
	r := &exchange.Request{Service: "s", Key: "k", Deadline: start.Add(time.Minute)}
	response := c.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), r)
	_ = response.Body.Close()
	// The connection goes back to the pool in another goroutine.
	synctest.Wait()
	return response.Outcome, time.Since(start)
}

// Guards against requests that hang until their deadline on a connection that has gone
// silent, and against using such a connection again while new ones work.
func TestSilentConnection(t *testing.T) {
	silenced(t, 0, func(t *testing.T, n *network, c *peer.Client) {
		got, _ := lookup(t, c)
		must.Eq(t, outcome.Ran, got)
		n.generation.Add(1)
		got, elapsed := lookup(t, c)
		must.Eq(t, outcome.Unknown, got)
		must.LessEq(t, time.Second, elapsed)
		got, elapsed = lookup(t, c)
		must.Eq(t, outcome.Ran, got)
		must.LessEq(t, time.Millisecond, elapsed)
	})
}

// Guards against one request for each silent connection in the pool being lost although a
// control call has shown that connections to the peer are silent.
func TestSilenceFoundByControlCall(t *testing.T) {
	silenced(t, 0, func(t *testing.T, n *network, c *peer.Client) {
		to := netip.MustParseAddrPort("127.0.0.1:1")
		_, err := c.Sync(t.Context(), to, control.Sync{})
		must.NoError(t, err)
		got, _ := lookup(t, c)
		must.Eq(t, outcome.Ran, got)
		n.generation.Add(1)
		_, err = c.Sync(t.Context(), to, control.Sync{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = c.Sync(t.Context(), to, control.Sync{})
		must.NoError(t, err)
		got, _ = lookup(t, c)
		must.Eq(t, outcome.Ran, got)
	})
}

// Guards against a slow request being taken for a silent connection.
func TestSlowRequest(t *testing.T) {
	silenced(t, 30*time.Second, func(t *testing.T, _ *network, c *peer.Client) {
		got, elapsed := lookup(t, c)
		must.Eq(t, outcome.Ran, got)
		must.Eq(t, 30*time.Second, elapsed)
	})
}
