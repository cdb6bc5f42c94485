package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/httpserver"
)

// testHandler answers with the path and body of a request. A request for /wait waits until it is released, one whose
// path ends with /close closes the connection and one for /unread does not read its body. Requests for /alone are not
// handled ahead.
type testHandler struct {
	mu       sync.Mutex
	handled  []string
	released chan struct{}
	left     atomic.Int64
}

func (h *testHandler) AllowsAhead(r *http.Request) bool { return r.URL.Path != "/alone" }

func (h *testHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.handled = append(h.handled, r.URL.Path)
	h.mu.Unlock()
	var body []byte
	if r.URL.Path != "/unread" {
		body, _ = io.ReadAll(r.Body)
	}
	if strings.HasPrefix(r.URL.Path, "/wait") {
		select {
		case <-h.released:
		case <-r.Context().Done():
			h.left.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	if strings.HasSuffix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/large" {
		body = make([]byte, 8<<20)
	}
	text := r.URL.Path + string(body)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

func (h *testHandler) paths() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.handled...)
}

// testServer is a server with its handler and limits.
type testServer struct {
	*httpserver.Server
	address string
	handler *testHandler
	limits  atomic.Pointer[httpserver.Limits]
}

// aheadMemory is the budget for requests ahead: for 65 with responses whose size is not known.
const aheadMemory = 5 << 20

func startServer(t testing.TB) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &testServer{address: l.Addr().String(), handler: &testHandler{released: make(chan struct{})}}
	s.limits.Store(&httpserver.Limits{HeadBytes: 16 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, Connections: 100})
	s.Server = httpserver.New(l, s.handler, func() httpserver.Limits { return *s.limits.Load() }, bodybudget.New(2<<20), bodybudget.New(aheadMemory), &log.Logger{Handler: discard.New()})
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// change changes the limits.
func (s *testServer) change(f func(*httpserver.Limits)) {
	l := *s.limits.Load()
	f(&l)
	s.limits.Store(&l)
}

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t testing.TB) *client {
	c, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(t testing.TB, text string) {
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// get returns a request for a path without a body.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// response reads a response and returns its status and body.
func (c *client) response(t testing.TB) (*http.Response, string) {
	r, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r, string(body)
}

// ends reports whether the connection ends without further bytes.
func (c *client) ends() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// Guards against requests sent ahead that wait for each other, and against responses in another order.
func TestRequestsAheadRunSideBySide(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/wait-1")+get("/b")+get("/wait-3")+get("/d"))
	eventually(t, "not all requests are handled at once", func() bool { return len(s.handler.paths()) == 4 })
	close(s.handler.released)
	for _, path := range []string{"/wait-1", "/b", "/wait-3", "/d"} {
		_, body := c.response(t)
		must.Eq(t, path, body)
	}
	must.Eq(t, 3, s.Counts()["ahead"])
}

// Guards against a final action that is handled although the response before it closes the connection, so that the
// client sends it again.
func TestNothingIsHandledBehindClose(t *testing.T) {
	for _, last := range []string{get("/alone"), "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy"} {
		s := startServer(t)
		c := s.dial(t)
		c.send(t, get("/wait")+strings.Replace(get("/close"), "Host: h", "Host: h\r\nConnection: close", 1)+last)
		eventually(t, "the first request is not handled", func() bool { return len(s.handler.paths()) == 1 })
		close(s.handler.released)
		_, body := c.response(t)
		must.Eq(t, "/wait", body)
		r, _ := c.response(t)
		must.True(t, r.Close)
		must.True(t, c.ends())
		must.Eq(t, []string{"/wait", "/close"}, s.handler.paths())
	}
}

// Guards against a request that is handled although the one before it closes the connection, so that bytes behind a
// request with unclear framing are taken for a request.
func TestNothingIsHandledBesideClosingRequest(t *testing.T) {
	for _, first := range []string{
		"GET /wait HTTP/1.0\r\nHost: h\r\n\r\n",
		"GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"POST /wait/close HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		s := startServer(t)
		c := s.dial(t)
		c.send(t, first+get("/next"))
		eventually(t, "the first request is not handled", func() bool { return len(s.handler.paths()) == 1 })
		// Time for the next request to be handled.
		<-time.After(20 * time.Millisecond)
		close(s.handler.released)
		r, _ := c.response(t)
		must.True(t, r.Close)
		must.True(t, c.ends())
		must.Len(t, 1, s.handler.paths())
	}
}

// Guards against a response that closes the connection while later requests are already handled.
func TestCloseWaitsForHandledRequests(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/wait")+get("/close")+get("/wait-3"))
	eventually(t, "not all requests are handled", func() bool { return len(s.handler.paths()) == 3 })
	close(s.handler.released)
	for range 3 {
		r, _ := c.response(t)
		must.False(t, r.Close)
	}
	c.send(t, get("/close"))
	r, _ := c.response(t)
	must.True(t, r.Close)
	must.True(t, c.ends())
}

// Guards against clients that always have a request under way and so keep their connections to a server that drains, and
// against requests that are handled behind the response which closes the connection.
func TestDrain(t *testing.T) {
	upload := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy"
	for _, handled := range []int{0, 1, 8, 64} {
		for name, next := range map[string]string{"none": "", "ahead": get("/next") + get("/next"), "alone": get("/alone"), "upload": upload, "malformed": "GET\r\n\r\n"} {
			t.Run(fmt.Sprint(handled, " ", name), func(t *testing.T) {
				s := startServer(t)
				c := s.dial(t)
				c.send(t, strings.Repeat(get("/wait"), handled))
				eventually(t, "not all requests are handled", func() bool { return len(s.handler.paths()) == handled })
				s.Drain()
				c.send(t, next)
				if handled == 0 {
					c.send(t, get("/wait"))
				}
				close(s.handler.released)
				for n := 1; ; n++ {
					r, _ := c.response(t)
					if n < handled {
						must.False(t, r.Close)
						continue
					}
					if r.Close {
						break
					}
					must.Eq(t, "malformed", name)
				}
				must.True(t, c.ends())
				if handled > 0 || name != "malformed" {
					must.Len(t, max(handled, 1), s.handler.paths())
				}
			})
		}
	}
}

// Guards against a request that is lost because the head of the response before it was written before the server began
// to drain.
func TestDrainDuringResponse(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/large"))
	_, err := c.reader.Peek(1)
	must.NoError(t, err)
	s.Drain()
	c.send(t, get("/a")+get("/b"))
	r, _ := c.response(t)
	must.False(t, r.Close)
	r, body := c.response(t)
	must.Eq(t, "/a", body)
	must.True(t, r.Close)
	must.True(t, c.ends())
	must.Eq(t, []string{"/large", "/a"}, s.handler.paths())
}

// Guards against a second response behind the one that closes the connection, to a malformed request that was still
// being read.
func TestNoRefusalBehindClose(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/wait"))
	eventually(t, "the request is not handled", func() bool { return len(s.handler.paths()) == 1 })
	c.send(t, "GET / HT")
	// Time for the server to begin to read the second request.
	<-time.After(20 * time.Millisecond)
	s.Drain()
	close(s.handler.released)
	r, _ := c.response(t)
	must.True(t, r.Close)
	c.send(t, "\r\n\r\n")
	must.True(t, c.ends())
}

// Guards against the loss of the end of the last response of a client that reads slowly and goes on sending: the
// connection must not be reset before the client has received it.
func TestSlowReaderThatGoesOnSending(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	must.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
	c.send(t, get("/large"))
	_, err := c.reader.Peek(1)
	must.NoError(t, err)
	s.Drain()
	c.send(t, get("/large"))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if _, err := io.WriteString(c, get("/next")); err != nil {
				return
			}
		}
	}()
	r, _ := c.response(t)
	must.False(t, r.Close)
	r, err = http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	must.True(t, r.Close)
	for left := r.ContentLength; left > 0; {
		n, err := io.CopyN(io.Discard, r.Body, min(left, 64<<10))
		must.NoError(t, err)
		left -= n
		<-time.After(25 * time.Millisecond)
	}
	must.True(t, c.ends())
}

// Guards against requests that go on after their client has left, also those that wait behind others.
func TestLeavingClientEndsAllRequests(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/wait-1")+get("/wait-2")+get("/alone"))
	eventually(t, "the requests are not handled", func() bool { return len(s.handler.paths()) == 2 })
	must.NoError(t, c.Close())
	eventually(t, "the requests go on", func() bool { return s.handler.left.Load() == 2 })
	eventually(t, "the connection stays", func() bool { return s.Counts()["open"] == 0 })
	must.Len(t, 2, s.handler.paths())
}

// Guards against heads and complete responses of requests sent ahead that take more memory than is reserved, because each
// of them is small, and against a reservation that stays as large as the largest small response.
func TestMemoryOfRequestsAhead(t *testing.T) {
	large := strings.Repeat("a:\r\n", 1000)
	for _, c := range []struct {
		first, fields string
		connections   int
		least, most   int
	}{
		{"/wait", "", 4, 65, 85},
		{"/wait", large, 4, 35, 46},
		{"/a", "", 4, 4 * 64, 4 * 64},
	} {
		s := startServer(t)
		var clients []*client
		for range c.connections {
			client := s.dial(t)
			client.send(t, get("/wait")+strings.Repeat("GET "+c.first+" HTTP/1.1\r\nHost: h\r\n"+c.fields+"\r\n", 63))
			clients = append(clients, client)
		}
		eventually(t, "too few requests are handled", func() bool { return len(s.handler.paths()) >= c.least })
		// Time for more to be handled.
		<-time.After(50 * time.Millisecond)
		must.Between(t, c.least, len(s.handler.paths()), c.most)
		close(s.handler.released)
		for _, client := range clients {
			for range 64 {
				r, _ := client.response(t)
				must.Eq(t, http.StatusOK, r.StatusCode)
			}
		}
	}
}

// Guards against one connection that takes all of the requests which may be handled at once.
func TestRequestsAheadAreLimited(t *testing.T) {
	s := startServer(t)
	c, other := s.dial(t), s.dial(t)
	c.send(t, strings.Repeat(get("/wait"), 200))
	eventually(t, "too few requests are handled", func() bool { return len(s.handler.paths()) == 64 })
	other.send(t, get("/a"))
	_, body := other.response(t)
	must.Eq(t, "/a", body)
	close(s.handler.released)
	for range 200 {
		_, body := c.response(t)
		must.Eq(t, "/wait", body)
	}
}

// Guards against a client that does not read and so holds its response and connection for ever.
func TestClientThatDoesNotRead(t *testing.T) {
	s := startServer(t)
	s.change(func(l *httpserver.Limits) { l.WriteTimeout = 200 * time.Millisecond })
	c := s.dial(t)
	eventually(t, "not accepted", func() bool { return s.Counts()["open"] == 1 })
	c.send(t, get("/large")+get("/large"))
	eventually(t, "the connection stays", func() bool { return s.Counts()["open"] == 0 })
	must.Eq(t, 1, s.Counts()["stalled"])
}

// Guards against new connections that fail because of idle ones, and against the end of one that has a request.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := startServer(t)
	busy := s.dial(t)
	busy.send(t, get("/wait"))
	eventually(t, "the request is not handled", func() bool { return len(s.handler.paths()) == 1 })
	s.change(func(l *httpserver.Limits) { l.Connections = 3 })
	oldest := s.dial(t)
	eventually(t, "not accepted", func() bool { return s.Counts()["open"] == 2 })
	s.dial(t)
	eventually(t, "not accepted", func() bool { return s.Counts()["open"] == 3 })
	next := s.dial(t)
	next.send(t, get("/next"))
	_, body := next.response(t)
	must.Eq(t, "/next", body)
	must.True(t, oldest.ends())
	must.Eq(t, 1, s.Counts()["evicted"])
	close(s.handler.released)
	_, body = busy.response(t)
	must.Eq(t, "/wait", body)
}

// Guards against timeouts that are not in force, or that do not follow a change on an open connection.
func TestTimeouts(t *testing.T) {
	for _, sent := range []string{"", "GET / HT"} {
		s := startServer(t)
		c := s.dial(t)
		c.send(t, get("/a"))
		_, _ = c.response(t)
		s.change(func(l *httpserver.Limits) { l.HeadTimeout, l.IdleTimeout = 100*time.Millisecond, 100*time.Millisecond })
		c.send(t, get("/b"))
		_, _ = c.response(t)
		c.send(t, sent)
		must.True(t, c.ends())
	}
}

// Guards against heads that take more memory than is reserved: they cost many times their bytes.
func TestHeadsOfShortFields(t *testing.T) {
	s := startServer(t)
	fields := strings.Repeat("a:\r\n", 3000)
	var clients []*client
	for range 20 {
		c := s.dial(t)
		c.send(t, "GET /wait HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
		clients = append(clients, c)
	}
	eventually(t, "no request is refused", func() bool { return s.Counts()["heads"] > 0 })
	eventually(t, "not all requests are answered or handled", func() bool {
		return int(s.Counts()["heads"])+len(s.handler.paths()) == len(clients)
	})
	close(s.handler.released)
	refused := 0
	for _, c := range clients {
		if r, _ := c.response(t); r.StatusCode == http.StatusServiceUnavailable {
			must.NotEq(t, "", r.Header.Get("Retry-After"))
			refused++
		}
	}
	must.Eq(t, int(s.Counts()["heads"]), refused)
	c := s.dial(t)
	c.send(t, "GET /again HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
	r, _ := c.response(t)
	must.Eq(t, http.StatusOK, r.StatusCode)
}

// Guards against malformed requests that are handled, or that leave the connection at a point where the rest counts as
// the next request.
func TestMalformedRequests(t *testing.T) {
	for text, status := range map[string]int{
		"GET\r\n\r\n":                                   400,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":             505,
		"GET / HTTP/1.1\r\n\r\n":                        400,
		"GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n":    400,
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":           400,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n":                               400,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n":             400,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n":                          400,
		"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40<<10) + "\r\n\r\n":            431,
		"POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nGET / HTTP/1.1\r\n":        200,
		"POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + get("/smuggled"):           200,
		"POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + get("/chunk"): 200,
	} {
		s := startServer(t)
		c := s.dial(t)
		c.send(t, text)
		r, _ := c.response(t)
		must.Eq(t, status, r.StatusCode, must.Sprintf("%.60q", text))
		must.True(t, r.Close || r.ProtoMinor == 0, must.Sprintf("%.60q", text))
		must.True(t, c.ends())
		must.LessEq(t, 1, len(s.handler.paths()))
	}
}

// Guards against bodies, interim responses and methods that are handled in another way than the standard server does.
func TestBodies(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	_, body := c.response(t)
	must.Eq(t, "/aabc", body)
	c.send(t, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"+get("/c"))
	_, body = c.response(t)
	must.Eq(t, "/babc", body)
	_, body = c.response(t)
	must.Eq(t, "/c", body)
	c.send(t, "POST /d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
	_, _ = c.reader.ReadString('\n')
	c.send(t, "x")
	_, body = c.response(t)
	must.Eq(t, "/dx", body)
	c.send(t, strings.Replace(get("/e"), "GET", "HEAD", 1)+get("/f"))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	must.NoError(t, err)
	must.Eq(t, 2, r.ContentLength)
	_, body = c.response(t)
	must.Eq(t, "/f", body)
}

// Guards against a body that can't be read because its request has waited for the one before it.
func TestBodyOfWaitingRequest(t *testing.T) {
	s := startServer(t)
	c := s.dial(t)
	c.send(t, get("/wait")+"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	eventually(t, "the first request is not handled", func() bool { return len(s.handler.paths()) == 1 })
	// The second request can't be seen to wait; if it doesn't yet, the test passes.
	<-time.After(20 * time.Millisecond)
	close(s.handler.released)
	_, _ = c.response(t)
	c.send(t, "x")
	_, body := c.response(t)
	must.Eq(t, "/bx", body)
}

// Guards against a shutdown that cuts requests off or does not end.
func TestShutdown(t *testing.T) {
	s := startServer(t)
	idle, busy := s.dial(t), s.dial(t)
	busy.send(t, get("/wait")+get("/wait"))
	eventually(t, "the requests are not handled", func() bool { return len(s.handler.paths()) == 2 && s.Counts()["open"] == 2 })
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	must.True(t, idle.ends())
	close(s.handler.released)
	_, _ = busy.response(t)
	r, body := busy.response(t)
	must.Eq(t, "/wait", body)
	must.True(t, r.Close)
	must.NoError(t, <-done)
}

// BenchmarkRequests measures requests on a connection, one after the other and sent ahead.
func BenchmarkRequests(b *testing.B) {
	for _, ahead := range []int{1, 16} {
		b.Run(fmt.Sprint("ahead ", ahead), func(b *testing.B) {
			s := startServer(b)
			s.handler.handled = make([]string, 0, 1<<20)
			c := s.dial(b)
			_ = c.SetDeadline(time.Time{})
			text := strings.Repeat(get("/a"), ahead)
			for n := 0; n < b.N; n += ahead {
				c.send(b, text)
				for range ahead {
					_, _ = c.response(b)
				}
			}
		})
	}
}
