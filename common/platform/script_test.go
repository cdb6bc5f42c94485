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

// script hands the calls of a client to the test, which answers them.
type script struct{ calls chan call }

// call is one call and the way to its answer.
type call struct {
	request string
	header  http.Header
	body    string
	answer  chan reply
}

// reply is an answer, or an error of the connection.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	c := call{request: r.Method + " " + r.URL.RequestURI(), header: r.Header, answer: make(chan reply, 1)}
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
	case a := <-c.answer:
		return &http.Response{StatusCode: a.status, Header: a.header, Body: io.NopCloser(strings.NewReader(a.body))}, a.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func newClient() (*platform.Client, *script) {
	s := &script{calls: make(chan call)}
	return platform.New(netip.MustParseAddrPort("127.0.0.1:1"), &http.Client{Transport: s}), s
}

// expect takes the next call and answers it.
func (s *script) expect(t *testing.T, request string, a reply) call {
	t.Helper()
	c := <-s.calls
	must.Eq(t, request, c.request)
	c.answer <- a
	return c
}

func object(version int, change, value string) reply {
	return reply{status: 200, body: value, header: http.Header{
		"Version": {fmt.Sprint(version)}, "Author": {"ada"}, "Change": {change},
	}}
}

func jsonReply(status int, format string, values ...any) reply {
	return reply{status: status, body: fmt.Sprintf(format, values...)}
}
