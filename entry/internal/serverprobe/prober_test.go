package serverprobe_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/serverprobe"
)

// noConfiguration has no configuration.
type noConfiguration struct{}

func (noConfiguration) Configuration() *traffic.Configuration { return nil }

// Guards against a server that resets or refuses connections, or answers nothing, and counts as reached, and
// against a slow server that doesn't.
func TestProbe(t *testing.T) {
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	answer := func(c net.Conn) { _, _ = c.Write([]byte("H")) }
	silent := func(net.Conn) {}
	for name, c := range map[string]struct {
		accept           func(net.Conn)
		opens, exchanges bool
	}{
		"reset":   {reset, false, false},
		"answers": {answer, true, true},
		"silent":  {silent, true, false},
		"refuses": {nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			if c.accept == nil {
				must.NoError(t, l.Close())
			} else {
				go func() {
					for {
						k, err := l.Accept()
						if err != nil {
							return
						}
						c.accept(k)
						defer k.Close()
					}
				}()
			}
			p := serverprobe.New(&net.Dialer{}, noConfiguration{})
			s := registry.Server{Address: netip.MustParseAddrPort(l.Addr().String())}
			begin := time.Now()
			must.Eq(t, c.opens, p.Probe(t.Context(), s, false) == nil)
			must.Eq(t, []bool{c.opens, c.opens}, p.Reached(t.Context(), []netip.AddrPort{s.Address, s.Address}))
			must.Eq(t, c.exchanges, p.Probe(t.Context(), s, true) == nil)
			// A round of probes is over before the next but one is due.
			must.Less(t, 2*time.Second, time.Since(begin))
		})
	}
}
