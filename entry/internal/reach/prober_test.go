package reach_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/reach"
)

// Guards against a server that counts as reached although its connections are refused or reset, and against
// one that counts as not reached because it sends nothing.
func TestProbe(t *testing.T) {
	listen := func(handle func(net.Conn)) netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				handle(c)
			}
		}()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	open := listen(func(c net.Conn) { t.Cleanup(func() { _ = c.Close() }) })
	resetting := listen(func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	p := reach.New(&net.Dialer{})
	got := p.Probe(t.Context(), []netip.AddrPort{open, resetting, netip.MustParseAddrPort(closed.Addr().String())})
	must.Eq(t, []bool{true, false, false}, got)
}
