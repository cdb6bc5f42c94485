package relay_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/relay"
)

// brief is how long nothing must arrive; a byte on loopback takes microseconds.
const brief = 50 * time.Millisecond

var (
	near = netip.MustParseAddr("127.0.7.1")
	far  = netip.MustParseAddr("127.0.7.2")
)

// setup returns a relay in front of a server at far that echoes, and the address to dial.
func setup(t *testing.T) (*relay.Relay, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(far, 0).String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r := relay.New()
	t.Cleanup(func() { must.NoError(t, r.Close()) })
	via, err := r.Open(netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	return r, via
}

func dial(t *testing.T, from netip.Addr, to netip.AddrPort) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	c, err := d.DialContext(t.Context(), "tcp", to.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	must.NoError(t, err)
}

func expect(t *testing.T, c net.Conn, text string) {
	t.Helper()
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	must.NoError(t, err)
	must.Eq(t, text, string(buffer))
}

func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(brief)))
	_, err := c.Read(make([]byte, 1))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, c.SetReadDeadline(time.Time{}))
}

// Guards against a cut that other VMs notice, that refuses instead of being silent,
// or after which a connection continues with bytes missing.
func TestCut(t *testing.T) {
	r, via := setup(t)
	old, other := dial(t, near, via), dial(t, netip.MustParseAddr("127.0.7.3"), via)
	send(t, old, "one")
	expect(t, old, "one")
	r.Cut(far, near)
	send(t, old, "two")
	expectSilence(t, old)
	send(t, other, "three")
	expect(t, other, "three")
	fresh := dial(t, near, via)
	send(t, fresh, "four")
	expectSilence(t, fresh)
	r.Heal(near, far)
	expect(t, fresh, "four")
	send(t, old, "five")
	expectSilence(t, old)
	last := dial(t, near, via)
	send(t, last, "six")
	expect(t, last, "six")
}

// Guards against a target that receives requests of a source that had given up before the cut was healed.
func TestGivenUp(t *testing.T) {
	accepted := make(chan struct{}, 1)
	l, err := net.Listen("tcp", netip.AddrPortFrom(far, 0).String())
	must.NoError(t, err)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	r := relay.New()
	via, err := r.Open(netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	r.Cut(near, far)
	c := dial(t, near, via)
	send(t, c, "late")
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	// The relay closes its side when it has seen the end.
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	r.Heal(near, far)
	must.NoError(t, r.Close())
	must.Zero(t, len(accepted))
}

// Guards against silence that also affects new connections or is noticed by an end of the connection.
func TestSilence(t *testing.T) {
	r, via := setup(t)
	old := dial(t, near, via)
	send(t, old, "one")
	expect(t, old, "one")
	must.Eq(t, 1, r.Silence(near, far))
	must.Zero(t, r.Silence(near, far))
	send(t, old, "two")
	expectSilence(t, old)
	fresh := dial(t, near, via)
	send(t, fresh, "three")
	expect(t, fresh, "three")
}
