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

// silencePeriod is the time in which nothing must arrive; a byte takes microseconds on loopback.
const silencePeriod = 50 * time.Millisecond

var (
	sourceAddress = netip.MustParseAddr("127.0.7.1")
	serverAddress = netip.MustParseAddr("127.0.7.2")
)

// startEchoServer returns a relay in front of an echo server at serverAddress, and the
// address at which the relay listens.
func startEchoServer(t *testing.T) (*relay.Relay, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(serverAddress, 0).String())
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
	relayAddress, err := r.Open(netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	return r, relayAddress
}

// dial connects to the relay from the given source address.
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

func expectText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(c, buffer)
	must.NoError(t, err)
	must.Eq(t, text, string(buffer))
}

// expectSilence checks that the connection stays open and nothing arrives in silencePeriod.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(silencePeriod)))
	_, err := c.Read(make([]byte, 1))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.NoError(t, c.SetReadDeadline(time.Time{}))
}

// Guards against a cut that affects other VMs, that refuses connections instead of being
// silent, or after which a connection continues although bytes are missing.
func TestCut(t *testing.T) {
	r, relayAddress := startEchoServer(t)
	existing, unaffected := dial(t, sourceAddress, relayAddress), dial(t, netip.MustParseAddr("127.0.7.3"), relayAddress)
	send(t, existing, "one")
	expectText(t, existing, "one")
	r.Cut(serverAddress, sourceAddress)
	send(t, existing, "two")
	expectSilence(t, existing)
	send(t, unaffected, "three")
	expectText(t, unaffected, "three")
	duringCut := dial(t, sourceAddress, relayAddress)
	send(t, duringCut, "four")
	expectSilence(t, duringCut)
	r.Heal(sourceAddress, serverAddress)
	expectText(t, duringCut, "four")
	send(t, existing, "five")
	expectSilence(t, existing)
	afterHeal := dial(t, sourceAddress, relayAddress)
	send(t, afterHeal, "six")
	expectText(t, afterHeal, "six")
}

// Guards against forwarding a request to the target after the heal although its source had
// closed the connection during the cut.
func TestSourceClosesDuringCut(t *testing.T) {
	accepted := make(chan struct{}, 1)
	l, err := net.Listen("tcp", netip.AddrPortFrom(serverAddress, 0).String())
	must.NoError(t, err)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	r := relay.New()
	relayAddress, err := r.Open(netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	r.Cut(sourceAddress, serverAddress)
	c := dial(t, sourceAddress, relayAddress)
	send(t, c, "late")
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	// The relay closes its side once it has read the end of the stream.
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	r.Heal(sourceAddress, serverAddress)
	must.NoError(t, r.Close())
	must.Zero(t, len(accepted))
}

// Guards against silencing that also affects new connections or that closes the connection.
func TestSilence(t *testing.T) {
	r, relayAddress := startEchoServer(t)
	existing := dial(t, sourceAddress, relayAddress)
	send(t, existing, "one")
	expectText(t, existing, "one")
	must.Eq(t, 1, r.Silence(sourceAddress, serverAddress))
	must.Zero(t, r.Silence(sourceAddress, serverAddress))
	send(t, existing, "two")
	expectSilence(t, existing)
	newer := dial(t, sourceAddress, relayAddress)
	send(t, newer, "three")
	expectText(t, newer, "three")
}
