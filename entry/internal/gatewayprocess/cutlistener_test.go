package gatewayprocess_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// pathState is what happens to the connections from an address.
type pathState int

const (
	// pathOpen leaves the connections alone.
	pathOpen pathState = iota
	// pathReset resets the connections, new ones right after they were accepted.
	pathReset
	// pathSilent drops all packets from the address, those that open a connection included. Data that was
	// sent meanwhile may arrive after the cut.
	pathSilent
)

// cutListener is a TCP listener that can cut off single addresses.
type cutListener struct {
	*net.TCPListener

	mu    sync.Mutex
	kinds map[netip.Addr]pathState
	conns map[*net.TCPConn]netip.Addr
}

// newCutListener listens on loopback.
func newCutListener(t *testing.T) *cutListener {
	// A multipath TCP socket accepts no filter.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return &cutListener{TCPListener: l.(*net.TCPListener), kinds: make(map[netip.Addr]pathState), conns: make(map[*net.TCPConn]netip.Addr)}
}

// trackedConn is a connection that its listener forgets when it is closed.
type trackedConn struct {
	*net.TCPConn
	listener *cutListener
}

// Close implements net.Conn.
func (c trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.TCPConn)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
		l.mu.Lock()
		if l.kinds[from] == pathReset {
			l.mu.Unlock()
			reset(c)
			continue
		}
		l.conns[c] = from
		l.mu.Unlock()
		return trackedConn{TCPConn: c, listener: l}, nil
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// cut changes what happens to the connections from an address.
func (l *cutListener) cut(from netip.Addr, kind pathState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds[from] = kind
	var silent []netip.Addr
	for address, k := range l.kinds {
		if k == pathSilent {
			silent = append(silent, address)
		}
	}
	if err := dropFrom(l.TCPListener, silent); err != nil {
		return err
	}
	for c, address := range l.conns {
		switch {
		case address != from:
		case kind == pathReset:
			reset(c)
		default:
			// A connection may have been closed meanwhile.
			if err := dropFrom(c, silent); err != nil && !errors.Is(err, net.ErrClosed) {
				return err
			}
		}
	}
	return nil
}

// dropFrom makes the kernel drop the packets that a socket receives from some addresses.
func dropFrom(socket syscall.Conn, addresses []netip.Addr) error {
	// SKF_NET_OFF is the offset of the IP header, in which the source has offset 12.
	const source = uint32(1<<32-0x100000) + 12
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: source}}
	for _, a := range addresses {
		b := a.As4()
		filter = append(filter,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K},
		)
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 18})
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	if err == nil {
		err = optionErr
	}
	return err
}

// serveCuttable serves a handler on loopback until the test ends.
func serveCuttable(t *testing.T, h http.Handler) *cutListener {
	l := newCutListener(t)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// Guards against tests of cuts that cut off nothing, or a server for all.
func TestCutListener(t *testing.T) {
	t.Parallel()
	l := serveCuttable(t, http.NotFoundHandler())
	from, other := unusedAddress(t).Addr(), unusedAddress(t).Addr()
	client := func(local netip.Addr) *http.Client {
		d := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
		return &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DialContext: d.DialContext}}
	}
	kept := client(from)
	reached := func(c *http.Client) bool {
		response, err := c.Get(fmt.Sprint("http://", l.Addr()))
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	}
	for _, kind := range []pathState{pathReset, pathSilent} {
		eventually(t, 10*time.Second, "reached", func() bool { return reached(kept) })
		must.NoError(t, l.cut(from, kind))
		must.False(t, reached(kept))
		must.False(t, reached(client(from)))
		eventually(t, 10*time.Second, "the other address reaches it", func() bool { return reached(client(other)) })
		must.NoError(t, l.cut(from, pathOpen))
	}
	eventually(t, 10*time.Second, "reached again", func() bool { return reached(client(from)) })
}
