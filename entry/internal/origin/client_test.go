package origin_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
)

// testHeaderFields implements origin.HeaderFields with the header fields of the tests.
type testHeaderFields struct{}

func (testHeaderFields) ID(h http.Header) string       { return h.Get("Id") }
func (testHeaderFields) IsSetByProxy(name string) bool { return name == "Left" || name == "Server" }

func (testHeaderFields) AddRequestFields(add func(name, value string), left time.Duration, server string) {
	add("Left", fmt.Sprint(left.Round(time.Second).Seconds()))
	add("Server", server)
}

func (testHeaderFields) NotRun(status int, h http.Header) bool {
	return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}
func (testHeaderFields) RequestLimit(http.Header) (float64, bool, error) { return 0, false, nil }

func (testHeaderFields) ServerLoad(http.Header) (*registry.Load, error) { return nil, nil }
func (testHeaderFields) IsLeaving(http.Header) (bool, error)            { return false, nil }
func (testHeaderFields) OtherServer(int, http.Header, string) string    { return "" }

func (testHeaderFields) RetryAfter(time.Time, http.Header) (time.Time, bool, error) {
	return time.Time{}, false, nil
}

func (testHeaderFields) HasProof(h http.Header) bool { return h.Get("Proof") != "" }

// testServer is a TCP server that counts its connections.
type testServer struct {
	listener net.Listener
	mu       sync.Mutex
	accepted int
}

// startServer starts a server and returns it with a client. Each connection is passed to handle,
// with its number n counted from 1, and closed when handle returns.
func startServer(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) (*testServer, *origin.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &testServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			n := s.accepted
			s.mu.Unlock()
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	client := origin.New(netip.MustParseAddrPort(l.Addr().String()), 10, &net.Dialer{}, testHeaderFields{})
	t.Cleanup(client.Close)
	return s, client
}

// readRequest reads one request and returns its identifier.
func readRequest(r *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err == nil
}

// formatResponse returns a valid response; extra holds further header lines.
func formatResponse(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// request returns a request with header fields that must be forwarded and others that must not.
func request(id string) *origin.Request {
	return &origin.Request{
		Method: "GET", Target: "/a/b?c=d", Host: "h.example", Header: http.Header{"Id": {id}, "X-Other": {"1"}, "Connection": {"close"}, "Left": {"99"}},
		ID: id, Server: "s1", Deadline: time.Now().Add(3 * time.Second),
	}
}

// asFailure returns the *origin.Error of a failed request.
func asFailure(t *testing.T, err error) *origin.Error {
	t.Helper()
	failure, ok := errors.AsType[*origin.Error](err)
	must.True(t, ok)
	return failure
}

func (s *testServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Guards against requests that are changed on the way to the server, or that have header fields of
// the client's connection.
func TestForwardedHead(t *testing.T) {
	heads := make(chan string, 1)
	_, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			head.WriteString(line)
		}
		heads <- head.String()
		_, _ = io.WriteString(c, formatResponse("1", "", "x"))
	})
	r := request("1")
	r.Header["Connection"], r.Header["X-Hop"] = []string{"close, x-hop"}, []string{"1"}
	_, err := client.Do(t.Context(), r)
	must.NoError(t, err)
	head := <-heads
	must.StrNotContains(t, head, "X-Hop")
	must.StrHasPrefix(t, "GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n", head)
	must.StrContains(t, head, "X-Other: 1\r\n")
	must.StrContains(t, head, "Left: 3\r\n")
	must.StrContains(t, head, "Server: s1\r\n")
	must.StrNotContains(t, head, "Connection")
	must.StrNotContains(t, head, "Content-Length")
	must.Eq(t, 1, strings.Count(head, "Left:"))
}

// Guards against passing a response to the wrong request. The server first sends a response with the
// identifier of another request, as a late one has, or a response without an identifier.
func TestStrayResponses(t *testing.T) {
	_, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse("stray", "", "wrong")+formatResponse(id, "", "right"))
		}
	})
	for i := range 3 {
		response, err := client.Do(t.Context(), request(fmt.Sprint(i)))
		must.NoError(t, err)
		must.Eq(t, "right", string(response.Body))
	}
	_, withoutID := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nProof: yes\r\nContent-Length: 1\r\n\r\nx")
	})
	_, err := withoutID.Do(t.Context(), request("1"))
	failure := asFailure(t, err)
	must.True(t, failure.Sent)
}

// Guards against taking an extra response, which is already in the buffer of a connection, for the
// response to the next request.
func TestExtraResponseOnIdleConnection(t *testing.T) {
	s, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, "", "right")+formatResponse(id, "", "again"))
		}
	})
	for i := range 2 {
		response, err := client.Do(t.Context(), request(fmt.Sprint(i)))
		must.NoError(t, err)
		must.Eq(t, "right", string(response.Body))
	}
	must.Eq(t, 2, s.connections())
}

// Guards against accepting truncated or invalid responses, and against stating that the request of
// such a response was not sent.
func TestInvalidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"no response":           "",
		"closed in the head":    "HTTP/1.1 200 OK\r\nId: 1",
		"closed in the body":    "HTTP/1.1 200 OK\r\nId: 1\r\nProof: yes\r\nContent-Length: 9\r\n\r\nhalf",
		"closed between chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nProof: yes\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"not HTTP":              "\x00\x01\x02 what is this\r\n\r\n",
		"protocol switched":     "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n",
		"two content lengths":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			_, err := client.Do(t.Context(), request("1"))
			failure := asFailure(t, err)
			must.True(t, failure.Sent)
		})
	}
}

// Guards against taking a connection reset for the end of a response without a length.
func TestResetInResponse(t *testing.T) {
	_, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: yes\r\n\r\nhalf")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := client.Do(t.Context(), request("1"))
	must.Error(t, err)
}

// Guards against reusing a connection on which the server has responded before it has read the whole
// body. The server would read the next request as the rest of the body.
func TestEarlyResponse(t *testing.T) {
	s, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, formatResponse(request.Header.Get("Id"), "", "early"))
		// The body is not read until the client has given up.
		var b [1]byte
		_, _ = c.Read(b[:])
	})
	for i := range 2 {
		r := request(fmt.Sprint(i))
		r.Method, r.Body, r.HasBody = "POST", bytes.Repeat([]byte("x"), 8<<20), true
		response, err := client.Do(t.Context(), r)
		must.NoError(t, err)
		must.Eq(t, "early", string(response.Body))
	}
	must.Eq(t, 2, s.connections())
}

// Guards against opening a new connection for each request, and against reusing one that the server
// has closed.
func TestConnectionReuse(t *testing.T) {
	s, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			extra := "Keep-Alive: timeout=5\r\n"
			if id == "last" {
				extra = "Connection: close\r\n"
			}
			_, _ = io.WriteString(c, formatResponse(id, extra, "x"))
			if id == "last" {
				return
			}
		}
	})
	for _, id := range []string{"1", "2", "last", "4"} {
		_, err := client.Do(t.Context(), request(id))
		must.NoError(t, err)
	}
	must.Eq(t, 2, s.connections())
}

// Guards against reporting a request as sent although no connection could be opened.
func TestUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	client := origin.New(address, 1, &net.Dialer{}, testHeaderFields{})
	_, err = client.Do(t.Context(), request("1"))
	failure := asFailure(t, err)
	must.False(t, failure.Sent)
	must.True(t, failure.Unreachable)
}

// Guards against a server that continues to work on a cancelled request: its connection must be
// closed.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	began := make(chan struct{})
	_, client := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(began)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := client.Do(ctx, request("1"))
	must.ErrorIs(t, err, context.Canceled)
	<-closed
}

// Guards against losing a server's statement that it did not run a request.
func TestNotRun(t *testing.T) {
	_, client := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := client.Do(t.Context(), request("1"))
	must.NoError(t, err)
	must.True(t, response.NotRun)
	must.False(t, response.HasServerProof)
}

// Guards against a partition that can't be told from a server that fails while it answers, and against a
// response whose connection is taken for a new one.
func TestFailureTellsWhetherAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		partial    string
		earlier    int
		unanswered bool
	}{
		"new connection, nothing":    {"", 0, true},
		"new connection, a byte":     {"H", 0, false},
		"reused connection, nothing": {"", 1, true},
		"reused connection, a byte":  {"H", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startServer(t, func(_ int, k net.Conn, r *bufio.Reader) {
				for range c.earlier {
					id, _ := readRequest(r)
					_, _ = io.WriteString(k, formatResponse(id, "", ""))
				}
				_, _ = readRequest(r)
				_, _ = io.WriteString(k, c.partial)
			})
			for range c.earlier {
				response, err := client.Do(t.Context(), request("earlier"))
				must.NoError(t, err)
				must.False(t, response.Reused)
			}
			_, err := client.Do(t.Context(), request("failing"))
			failure := asFailure(t, err)
			must.Eq(t, c.unanswered, failure.Unanswered)
			must.Eq(t, c.earlier > 0, failure.Reused)
		})
	}
}
