package dialer_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"

	"bramleystand.org/entry/internal/dialer"
)

// control calls f with the file descriptor of a connection.
func control(t *testing.T, c net.Conn, f func(fd int) error) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	var optionErr error
	must.NoError(t, raw.Control(func(fd uintptr) { optionErr = f(int(fd)) }))
	must.NoError(t, optionErr)
}

// setDropping makes a connection drop all packets that it gets, or none, before TCP sees them.
func setDropping(t *testing.T, c net.Conn, dropping bool) {
	t.Helper()
	accepted := uint32(0xffffffff)
	if dropping {
		accepted = 0
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: accepted}}
	control(t, c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

// probesOut returns the number of keep-alive probes without an answer, and whether the connection is open.
func probesOut(t *testing.T, c net.Conn) (n int, open bool) {
	t.Helper()
	control(t, c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n, open = int(info.Probes), info.State == unix.BPF_TCP_ESTABLISHED
		}
		return err
	})
	return n, open
}

// connect returns both ends of a connection that the dialer has opened.
func connect(t *testing.T) (dialed, accepted net.Conn) {
	var config net.ListenConfig
	// Multipath TCP sockets accept no packet filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	dialed, err = dialer.NewKeepAlive(netip.MustParseAddr("127.0.0.1")).DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err = l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted
}

// Guards against a connection that is closed because a single packet of an idle time was lost.
func TestOneLostProbe(t *testing.T) {
	dialed, accepted := connect(t)
	setDropping(t, accepted, true)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		n, _ := probesOut(t, dialed)
		return n == 1
	}), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
	setDropping(t, accepted, false)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		n, open := probesOut(t, dialed)
		return n == 0 || !open
	}), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
	_, open := probesOut(t, dialed)
	must.True(t, open)
}

// Guards against a connection to a lost peer that stays open for longer than 3 s, or half a second more when
// the machine is busy.
func TestSilentPeer(t *testing.T) {
	for _, sends := range []bool{false, true} {
		dialed, accepted := connect(t)
		setDropping(t, accepted, true)
		begin := time.Now()
		if sends {
			_, err := dialed.Write([]byte("request"))
			must.NoError(t, err)
		}
		must.NoError(t, dialed.SetReadDeadline(begin.Add(10*time.Second)))
		_, err := dialed.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ETIMEDOUT)
		must.Less(t, 3500*time.Millisecond, time.Since(begin))
	}
}
