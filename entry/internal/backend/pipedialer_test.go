package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/backend"
)

// pipeDialer is a dialer of in-memory connections, whose other ends it passes to the test.
type pipeDialer struct {
	// accepted receives the server's end of each new connection.
	accepted chan *serverConn
	// dialErr, if not nil, is returned by all dials.
	dialErr         error
	dialsInProgress atomic.Int64
	// unblockDials, if not nil, blocks all dials until it is closed.
	unblockDials chan struct{}
}

// serverConn is the server's end of a connection.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

func (d *pipeDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	d.dialsInProgress.Add(1)
	defer d.dialsInProgress.Add(-1)
	if d.unblockDials != nil {
		select {
		case <-d.unblockDials:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if d.dialErr != nil {
		return nil, d.dialErr
	}
	client, server := net.Pipe()
	d.accepted <- &serverConn{server, bufio.NewReader(server)}
	return client, nil
}

// newClient returns a client on in-memory connections that allows connections-2 concurrent
// requests, and its dialer.
func newClient(t *testing.T, connections int) (*backend.Client, *pipeDialer) {
	t.Helper()
	dialer := &pipeDialer{accepted: make(chan *serverConn, 16)}
	c := backend.New(netip.MustParseAddrPort("127.0.0.1:1"), connections, dialer)
	t.Cleanup(c.Close)
	return c, dialer
}

// readRequest reads a request and its body.
func (s *serverConn) readRequest(t *testing.T) (*http.Request, string) {
	t.Helper()
	r, err := http.ReadRequest(s.reader)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r, string(body)
}

// writeResponse writes the raw text of a response.
func (s *serverConn) writeResponse(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s, text)
	must.NoError(t, err)
}

// requestResult is what Do and reading the response body returned.
type requestResult struct {
	response *backend.Response
	body     string
	err      error
}

// startRequest sends a request and reads the whole response in the background.
func startRequest(ctx context.Context, c *backend.Client, r *backend.Request) chan requestResult {
	done := make(chan requestResult, 1)
	go func() {
		response, err := c.Do(ctx, r)
		if err != nil {
			done <- requestResult{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		done <- requestResult{response, string(body), err}
	}()
	return done
}

func newGetRequest() *backend.Request {
	return &backend.Request{Method: "GET", Key: "a/b", Query: "q=1:2", Fence: 7, Shard: 3}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
