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

// pipes is a dialer whose connections end in the test.
type pipes struct {
	servers chan *peer
	refusal error
	dialing atomic.Int64
	gate    chan struct{}
}

// peer is the server's end of a connection.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

func (p *pipes) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	p.dialing.Add(1)
	defer p.dialing.Add(-1)
	if p.gate != nil {
		select {
		case <-p.gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if p.refusal != nil {
		return nil, p.refusal
	}
	client, server := net.Pipe()
	p.servers <- &peer{server, bufio.NewReader(server)}
	return client, nil
}

// newClient returns a client for a test on pipes with places for connections-2 requests.
func newClient(t *testing.T, connections int) (*backend.Client, *pipes) {
	t.Helper()
	p := &pipes{servers: make(chan *peer, 16)}
	c := backend.New(netip.MustParseAddrPort("127.0.0.1:1"), connections, p)
	t.Cleanup(c.Close)
	return c, p
}

// request reads a request with its body.
func (p *peer) request(t *testing.T) (*http.Request, string) {
	t.Helper()
	r, err := http.ReadRequest(p.reader)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r, string(body)
}

// answer writes a raw answer.
func (p *peer) answer(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(p, text)
	must.NoError(t, err)
}

// result is what Do and reading the answer returned.
type result struct {
	response *backend.Response
	body     string
	err      error
}

// start sends a request and reads the whole answer in the background.
func start(ctx context.Context, c *backend.Client, r *backend.Request) chan result {
	done := make(chan result, 1)
	go func() {
		response, err := c.Do(ctx, r)
		if err != nil {
			done <- result{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		done <- result{response, string(body), err}
	}()
	return done
}

func get() *backend.Request {
	return &backend.Request{Method: "GET", Key: "a/b", Query: "q=1:2", Fence: 7, Shard: 3}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
