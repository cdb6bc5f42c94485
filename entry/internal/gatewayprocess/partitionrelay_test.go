package gatewayprocess_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// partitionKind is how a process is partitioned from a server.
type partitionKind string

const (
	// connected means that there is no partition.
	connected partitionKind = "connected"
	// partitionReset resets all connections of the process, and new ones as soon as they are open.
	partitionReset partitionKind = "reset"
	// partitionSilent drops all packets of the process, so that nothing is acknowledged and connection
	// attempts hang. What the relay itself has to acknowledge is still sent.
	partitionSilent partitionKind = "silent"
	// partitionNew resets new connections, while kept ones work.
	partitionNew partitionKind = "new connections reset"
	// partitionUnanswered accepts connections and requests, and sends nothing back.
	partitionUnanswered partitionKind = "unanswered"
)

// cutRelay passes connections on to a server and can partition single processes, which it tells apart by
// their IP.
type cutRelay struct {
	address  netip.AddrPort
	server   netip.AddrPort
	listener *net.TCPListener

	mu          sync.Mutex
	cuts        map[netip.Addr]partitionKind
	connections map[*relayedConnection]bool
	// changed is closed when a cut begins or ends.
	changed chan struct{}
}

// relayedConnection is a connection of a process with the one to the server.
type relayedConnection struct {
	from           netip.Addr
	client, server *net.TCPConn
}

func newCutRelay(t *testing.T, server netip.AddrPort) *cutRelay {
	var config net.ListenConfig
	// Multipath TCP sockets accept no packet filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &cutRelay{
		address: netip.MustParseAddrPort(l.Addr().String()), server: server, listener: l.(*net.TCPListener),
		cuts: make(map[netip.Addr]partitionKind), connections: make(map[*relayedConnection]bool), changed: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.accept(ctx)
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.connections {
			c.close()
		}
	})
	return r
}

func (c *relayedConnection) close() {
	for _, k := range []*net.TCPConn{c.client, c.server} {
		_ = k.SetLinger(0)
		_ = k.Close()
	}
}

func (r *cutRelay) accept(ctx context.Context) {
	for {
		k, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		go r.pass(ctx, k)
	}
}

// pass copies in both directions until one side ends the connection.
func (r *cutRelay) pass(ctx context.Context, client *net.TCPConn) {
	server, err := net.Dial("tcp", r.server.String())
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &relayedConnection{from: client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(), client: client, server: server.(*net.TCPConn)}
	r.mu.Lock()
	kind := r.cuts[c.from]
	r.connections[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, c)
	}()
	if kind == partitionReset || kind == partitionNew {
		c.close()
		return
	}
	if kind == partitionSilent {
		_ = r.filter(client, []netip.Addr{c.from})
	}
	var group sync.WaitGroup
	group.Go(func() { r.copy(ctx, c, c.server, c.client, partitionSilent, partitionSilent) })
	group.Go(func() { r.copy(ctx, c, c.client, c.server, partitionSilent, partitionUnanswered) })
	group.Wait()
}

// copy copies in one direction. It waits while a cut of one of the given kinds lasts.
func (r *cutRelay) copy(ctx context.Context, c *relayedConnection, to, from *net.TCPConn, held ...partitionKind) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.awaitEnd(ctx, c.from, held)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (r *cutRelay) awaitEnd(ctx context.Context, from netip.Addr, held []partitionKind) {
	for {
		r.mu.Lock()
		kind, changed := r.cuts[from], r.changed
		r.mu.Unlock()
		if kind != held[0] && kind != held[1] {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// set begins or ends a partition of a process.
func (r *cutRelay) set(t *testing.T, process netip.Addr, kind partitionKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[process] = kind
	close(r.changed)
	r.changed = make(chan struct{})
	var silent []netip.Addr
	for from, k := range r.cuts {
		if k == partitionSilent {
			silent = append(silent, from)
		}
	}
	must.NoError(t, r.filter(r.listener, silent))
	for c := range r.connections {
		switch {
		case c.from != process:
		case kind == partitionReset:
			c.close()
		case kind == partitionSilent:
			_ = r.filter(c.client, []netip.Addr{process})
		default:
			_ = r.filter(c.client, nil)
		}
	}
}

// filter makes the kernel drop the packets that a socket gets from the given addresses, before TCP sees
// them.
func (r *cutRelay) filter(s syscall.Conn, from []netip.Addr) error {
	const (
		networkHeader = 0xfff00000 // SKF_NET_OFF
		sourceOffset  = 12
		acceptAll     = 0xffffffff
	)
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceOffset}}
	for _, a := range from {
		ip := a.As4()
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(ip[:])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err == nil {
		err = optionErr
	}
	return err
}
