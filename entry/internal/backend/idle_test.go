package backend_test

import (
	"bufio"
	"errors"
	"fmt"
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
	// Tests of other packages connect to ports of 127.0.0.1 on which nothing listens any more.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()>>8%254, os.Getpid()&0xff))
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
