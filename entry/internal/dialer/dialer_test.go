package dialer_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/dialer"
)

// Guards against connections whose local address is another address of the VM than the given one.
func TestLocalAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	local := netip.MustParseAddr("127.0.9.1")
	c, err := dialer.New(local).DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.Eq(t, local, netip.MustParseAddrPort(accepted.RemoteAddr().String()).Addr())
}

// Guards against a connection that still delivers the data of a call, such as a grant, after the call
// was given up: closing the connection must reset it.
func TestResetOnClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	d := &dialer.ResetOnClose{Dialer: dialer.NewKeepAlive(netip.MustParseAddr("127.0.0.1"))}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.NoError(t, c.Close())
	_, err = accepted.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
