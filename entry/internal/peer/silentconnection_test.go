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

// network connects a client to a server with in-memory pipes, because a synctest bubble can't
// wait for sockets.
type network struct {
	accepted chan net.Conn
	closed   chan struct{}
	// generation is incremented to silence all connections opened so far.
	generation atomic.Int64
}

func (n *network) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.accepted <- server
	return &blackholeConn{client, n, n.generation.Load()}, nil
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

// blackholeConn discards all writes once the generation of the network has been incremented.
type blackholeConn struct {
	net.Conn
	network    *network
	generation int64
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.generation < c.network.generation.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// runInBubble runs a test in a synctest bubble, with a client and a server that takes the given
// time to handle a request.
func runInBubble(t *testing.T, handlingTime time.Duration, test func(t *testing.T, n *network, c *peer.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{accepted: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		handle := handlerFunc(func(context.Context, *exchange.Request) *exchange.Response {
			<-time.After(handlingTime)
			return exchange.TextResponse(outcome.Ran, http.StatusOK, "answer")
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = peer.NewServer(handle, echoControlHandler{}, &log.Logger{Handler: discard.New()}).Serve(ctx, n)
		}()
		c := peer.NewClient(n)
		test(t, n, c)
		_ = c.Close()
		cancel()
		<-done
	})
}

// forwardTimed forwards a request and returns its outcome and the time it took.
func forwardTimed(t *testing.T, c *peer.Client) (outcome.Outcome, time.Duration) {
	t.Helper()
	start := time.Now()
	r := &exchange.Request{Service: "s", Key: "k", Deadline: start.Add(time.Minute)}
	response := c.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), r)
	_ = response.Body.Close()
	// Another goroutine returns the connection to the pool.
	synctest.Wait()
	return response.Outcome, time.Since(start)
}

// Guards against a request that hangs until its deadline on a connection that has gone silent,
// and against the use of that connection for the next request although new connections work.
func TestSilentConnection(t *testing.T) {
	runInBubble(t, 0, func(t *testing.T, n *network, c *peer.Client) {
		got, _ := forwardTimed(t, c)
		must.Eq(t, outcome.Ran, got)
		n.generation.Add(1)
		got, elapsed := forwardTimed(t, c)
		must.Eq(t, outcome.Unknown, got)
		must.LessEq(t, time.Second, elapsed)
		got, elapsed = forwardTimed(t, c)
		must.Eq(t, outcome.Ran, got)
		must.LessEq(t, time.Millisecond, elapsed)
	})
}

// Guards against a failed request for each silent connection in the pool after an unanswered
// control call has already shown that connections to the peer are silent.
func TestUnansweredControlCallClosesIdleConnections(t *testing.T) {
	runInBubble(t, 0, func(t *testing.T, n *network, c *peer.Client) {
		to := netip.MustParseAddrPort("127.0.0.1:1")
		_, err := c.Sync(t.Context(), to, control.Sync{})
		must.NoError(t, err)
		got, _ := forwardTimed(t, c)
		must.Eq(t, outcome.Ran, got)
		n.generation.Add(1)
		_, err = c.Sync(t.Context(), to, control.Sync{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = c.Sync(t.Context(), to, control.Sync{})
		must.NoError(t, err)
		got, _ = forwardTimed(t, c)
		must.Eq(t, outcome.Ran, got)
	})
}

// Guards against the connection of a slow request being taken for silent.
func TestSlowRequest(t *testing.T) {
	runInBubble(t, 30*time.Second, func(t *testing.T, _ *network, c *peer.Client) {
		got, elapsed := forwardTimed(t, c)
		must.Eq(t, outcome.Ran, got)
		must.Eq(t, 30*time.Second, elapsed)
	})
}
