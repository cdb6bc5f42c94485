package backend_test

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/backend"
)

// Guards against an idle connection on which a server sends without end: the bytes would stay in the
// buffers of the kernel until the next request.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client := backend.New(netip.MustParseAddrPort(l.Addr().String()), 3, &net.Dialer{})
	defer client.Close()
	done := startRequest(t.Context(), client, newGetRequest())
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	server := &serverConn{accepted, bufio.NewReader(accepted)}
	server.readRequest(t)
	server.writeResponse(t, okResponse)
	must.NoError(t, (<-done).err)
	must.Eq(t, 1, client.Counts().Idle)
	must.NoError(t, accepted.SetWriteDeadline(time.Now().Add(10*time.Second)))
	err = server.sendEndlessly("a", 1<<30)
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the idle connection is still open"))
	must.Eq(t, 0, client.Counts().Open)
}
