package gateway_test

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/bounds"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/view"
)

// Guards against a body that holds its room although its client sends nothing more, against a body of the largest legal
// size that finds no room when no other is read, with a length and in chunks, and against room that is not given back.
func TestStalledBodyGivesRoom(t *testing.T) {
	const largest = 16 << 20
	b, err := bounds.New(64<<20, 1024)
	must.NoError(t, err)
	route := newRoute(traffic.Upload)
	route.Timeout = 30 * time.Second
	c, err := traffic.New(1, []traffic.Route{route}, map[string]traffic.Service{"a": {Name: "a"}},
		traffic.Limits{HeaderBytes: 2000, BodyBytes: largest, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	must.NoError(t, err)
	v := view.New()
	v.SetConfiguration(c)
	d := &fakeDispatcher{result: respondWith(200, http.Header{"Proof": {"s"}}, "x")}
	h := gateway.New(v, d, testHeaderFields{}, d, gateway.NewCounters(new(expvar.Map)), b, &log.Logger{Handler: discard.New()})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	// send sends a head and a part of a body, and returns the connection.
	send := func(head, body string) net.Conn {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, _ = io.WriteString(conn, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n"+head+"\r\n\r\n"+body)
		return conn
	}
	status := func(conn net.Conn) int {
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		return r.StatusCode
	}
	body := strings.Repeat("x", largest)
	withLength := fmt.Sprintf("Content-Length: %d", largest)
	must.Eq(t, 200, status(send(withLength, body)))
	must.Eq(t, 200, status(send("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", largest, body))))
	stalled := send(withLength, body[:largest/2])
	refused := send(withLength, body)
	must.Eq(t, 503, status(refused))
	<-time.After(1100 * time.Millisecond)
	must.Eq(t, 200, status(send(withLength, body)))
	must.Eq(t, 408, status(stalled))
	must.Eq(t, 1, h.Memory()["stalled"])
}
