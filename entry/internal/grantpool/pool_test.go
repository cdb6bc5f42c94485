package grantpool_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/dialer"
	"bramleystand.org/entry/internal/grantpool"
	"bramleystand.org/platform"
)

var keys = keyspace.Range{First: 4096, Last: 8191}

// newClient returns a client that sends grants on the connections of a pool.
func newClient() *platform.GrantClient {
	d := &dialer.ResetOnClose{Dialer: dialer.NewKeepAlive(netip.MustParseAddr("127.0.0.1"))}
	return newClientWith(d.DialContext)
}

func newClientWith(dial grantpool.DialFunc) *platform.GrantClient {
	return platform.NewGrantClient(nil, grantpool.New(dial, func(dial grantpool.DialFunc) *http.Transport {
		return &http.Transport{DialContext: dial}
	}))
}

// server is a backend server that counts grants and open connections.
type server struct {
	*httptest.Server
	grants, connections atomic.Int32
	// answer is read before each answer.
	answer chan struct{}
}

func startServer(t *testing.T, l net.Listener) *server {
	s := &server{answer: make(chan struct{}, 10)}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.grants.Add(1)
		select {
		case <-s.answer:
		case <-r.Context().Done():
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.connections.Add(1)
		case http.StateClosed:
			s.connections.Add(-1)
		}
	}
	if l != nil {
		s.Listener.Close()
		s.Listener = l
	}
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *server) recipient() platform.Recipient {
	return platform.Recipient{ID: "i-1", Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

// Guards against a grant with a known fence that reaches the next process at the address, because a
// connection was opened for it.
func TestConnectionNotOpenedAgain(t *testing.T) {
	for name, notice := range map[string]bool{"closed before": true, "closed at the same time": false} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil)
			close(s.answer)
			g, to := newClient(), s.recipient()
			number, err := g.Grant(t.Context(), to, keys, 12, time.Second, "", 0)
			must.NoError(t, err)
			again, err := g.Grant(t.Context(), to, keys, 12, time.Second, "", number)
			must.NoError(t, err)
			must.Eq(t, number, again)
			must.Eq(t, 1, s.connections.Load())
			s.CloseClientConnections()
			s.Close()
			l, err := net.Listen("tcp", to.Address.String())
			must.NoError(t, err)
			next := startServer(t, l)
			close(next.answer)
			if notice {
				eventually(t, "the closed connection is noticed", func() bool {
					_, err := g.Grant(t.Context(), to, keys, 12, time.Second, "", number)
					return errors.Is(err, platform.ErrConnectionEnded)
				})
			}
			_, err = g.Grant(t.Context(), to, keys, 12, time.Second, "", number)
			must.Error(t, err)
			must.Eq(t, 0, next.grants.Load())
			newer, err := g.Grant(t.Context(), to, keys, 13, time.Second, "", 0)
			must.NoError(t, err)
			must.NotEq(t, number, newer)
			must.Eq(t, 1, next.grants.Load())
		})
	}
}

// failingConn is a connection that can be made to fail before anything is sent.
type failingConn struct {
	net.Conn
	failing atomic.Bool
}

func (f *failingConn) Write(b []byte) (int, error) {
	if f.failing.Load() {
		return 0, net.ErrClosed
	}
	return f.Conn.Write(b)
}

// Guards against the standard transport, which repeats a request of which nothing was sent on a new
// connection.
func TestGrantNotRepeatedOnNewConnection(t *testing.T) {
	s := startServer(t, nil)
	close(s.answer)
	var dialed []*failingConn
	g := newClientWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		dialed = append(dialed, &failingConn{Conn: c})
		return dialed[len(dialed)-1], nil
	})
	number, err := g.Grant(t.Context(), s.recipient(), keys, 12, time.Second, "", 0)
	must.NoError(t, err)
	dialed[0].failing.Store(true)
	_, err = g.Grant(t.Context(), s.recipient(), keys, 12, time.Second, "", number)
	must.ErrorIs(t, err, platform.ErrConnectionEnded)
	must.Eq(t, 1, s.grants.Load())
	_, err = g.Grant(t.Context(), s.recipient(), keys, 13, time.Second, "", 0)
	must.NoError(t, err)
	must.SliceLen(t, 2, dialed)
}

// Guards against a grant without an answer that holds up the others which need its connection until their
// keys lapse.
func TestGrantWithoutAnswerDelaysNoOther(t *testing.T) {
	s := startServer(t, nil)
	g, to := newClient(), s.recipient()
	s.answer <- struct{}{}
	number, err := g.Grant(t.Context(), to, keys, 12, time.Second, "", 0)
	must.NoError(t, err)
	go func() { _, _ = g.Grant(t.Context(), to, keys, 12, time.Second, "", number) }()
	eventually(t, "the server has the grant without an answer", func() bool { return s.grants.Load() == 2 })
	began := time.Now()
	_, err = g.Grant(t.Context(), to, keys, 12, time.Second, "", number)
	must.ErrorIs(t, err, platform.ErrConnectionEnded)
	// A grant may take 400 ms in all.
	must.Less(t, 300*time.Millisecond, time.Since(began))
	s.answer <- struct{}{}
	s.answer <- struct{}{}
	_, err = g.Grant(t.Context(), to, keys, 13, time.Second, "", 0)
	must.NoError(t, err)
}

// Guards against a connection for each range of a server, of whose connections all callers together have
// only a few.
func TestKeptConnections(t *testing.T) {
	s := startServer(t, nil)
	g, to := newClient(), s.recipient()
	const ranges = 20
	var group sync.WaitGroup
	for range ranges {
		group.Go(func() { _, _ = g.Grant(t.Context(), to, keys, 12, time.Second, "", 0) })
	}
	eventually(t, "all grants have arrived", func() bool { return s.grants.Load() == ranges })
	close(s.answer)
	group.Wait()
	eventually(t, "few connections are kept", func() bool { return s.connections.Load() <= 4 })
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}
