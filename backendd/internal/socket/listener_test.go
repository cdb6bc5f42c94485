package socket_test

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/socket"
)

func listen(t *testing.T) (*socket.Listener, chan net.Conn) {
	t.Helper()
	l, err := socket.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 1, 0)
	must.NoError(t, err)
	accepted := make(chan net.Conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
	return l, accepted
}

func dial(t *testing.T, l *socket.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against a listener that breaks existing connections when it refuses new
// ones, or that does not accept again after Reopen.
func TestRefuse(t *testing.T) {
	l, accepted := listen(t)
	before := dial(t, l)
	server := <-accepted
	l.Refuse()
	_, err := net.Dial("tcp", l.Addr().String())
	must.True(t, errors.Is(err, syscall.ECONNREFUSED))
	b := make([]byte, 1)
	_, err = server.Write([]byte("a"))
	must.NoError(t, err)
	_, err = before.Read(b)
	must.NoError(t, err)
	must.NoError(t, l.Reopen())
	dial(t, l)
	(<-accepted).Close()
	server.Close()
}

// Guards against silenced connections that still pass bytes, and against Silence
// affecting later connections or control connections.
func TestSilence(t *testing.T) {
	l, accepted := listen(t)
	old := dial(t, l)
	acceptedOld := <-accepted
	control := dial(t, l)
	acceptedControl := <-accepted
	acceptedControl.(*socket.Conn).SetControl()
	must.Eq(t, 1, l.Silence())
	fresh := dial(t, l)
	acceptedFresh := <-accepted
	for _, c := range []net.Conn{acceptedOld, acceptedControl, acceptedFresh} {
		_, err := c.Write([]byte("a"))
		must.NoError(t, err)
	}
	b := make([]byte, 1)
	for _, c := range []net.Conn{control, fresh} {
		_, err := c.Read(b)
		must.NoError(t, err)
	}
	_, err := old.Write([]byte("lost"))
	must.NoError(t, err)
	must.NoError(t, old.(*net.TCPConn).CloseWrite())
	n, err := acceptedOld.Read(b)
	must.Error(t, err)
	must.Eq(t, 0, n)
	must.NoError(t, acceptedOld.Close())
	n, _ = old.Read(b)
	must.Eq(t, 0, n)
	acceptedControl.Close()
	acceptedFresh.Close()
	open, peak, _ := l.Counts()
	must.Eq(t, 0, open)
	must.Eq(t, 3, peak)
}
