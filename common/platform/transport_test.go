package platform_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/platform"
)

var (
	errLost    = errors.New("connection reset")
	errRefused = &net.OpError{Op: "dial", Err: errors.New("connection refused")}
)

// fakeTransport passes the requests of a client to the test, which responds to them.
type fakeTransport struct{ calls chan call }

// call is one request and the channel for its reply.
type call struct {
	request string
	header  http.Header
	body    string
	replies chan reply
}

// reply is a response, or an error of the connection.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := call{request: r.Method + " " + r.URL.RequestURI(), header: r.Header, replies: make(chan reply, 1)}
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		c.body = string(body)
	}
	select {
	case s.calls <- c:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	select {
	case rep := <-c.replies:
		return &http.Response{StatusCode: rep.status, Header: rep.header, Body: io.NopCloser(strings.NewReader(rep.body))}, rep.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func newClient() (*platform.Client, *fakeTransport) {
	s := &fakeTransport{calls: make(chan call)}
	return platform.New(netip.MustParseAddrPort("127.0.0.1:1"), &http.Client{Transport: s}), s
}

// expect checks the next request and sends a reply to it.
func (s *fakeTransport) expect(t *testing.T, request string, r reply) call {
	t.Helper()
	c := <-s.calls
	must.Eq(t, request, c.request)
	c.replies <- r
	return c
}

// objectReply returns the reply to a Get.
func objectReply(version int, change, value string) reply {
	return reply{status: 200, body: value, header: http.Header{
		"Version": {fmt.Sprint(version)}, "Author": {"ada"}, "Change": {change},
	}}
}

func jsonReply(status int, format string, values ...any) reply {
	return reply{status: status, body: fmt.Sprintf(format, values...)}
}
