package grantpool_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platform"
)

// Guards against a second copy of a refusal that is taken for the response to the next order, whose
// recipient then counts as ended although it has accepted the order.
func TestRepeatedMisdirectedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerTwice(c, func(r *http.Request, _ []byte) string {
				if r.Header.Get("Bramleystand-Expect-Instance") != "i-2" {
					return "421 Misdirected Request"
				}
				return "200 OK"
			})
		}
	}()
	address := netip.MustParseAddrPort(l.Addr().String())
	g := newClient()
	_, err = g.Grant(t.Context(), platform.Recipient{ID: "i-1", Address: address}, keys, 12, time.Second, "", 0)
	must.ErrorIs(t, err, platform.ErrMisdirected)
	_, err = g.Grant(t.Context(), platform.Recipient{ID: "i-2", Address: address}, keys, 13, time.Second, "", 0)
	must.NoError(t, err)
}

// Guards against a second copy of a refusal that is taken for the response to the next grant, which then
// counts as refused although it runs.
func TestRepeatedFencedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerTwice(c, func(_ *http.Request, body []byte) string {
				if bytes.Contains(body, []byte(`"fence":12,`)) {
					return "409 Conflict"
				}
				return "200 OK"
			})
		}
	}()
	to := platform.Recipient{ID: "i-1", Address: netip.MustParseAddrPort(l.Addr().String())}
	g := newClient()
	_, err = g.Grant(t.Context(), to, keys, 12, time.Second, "", 0)
	must.ErrorIs(t, err, platform.ErrFenced)
	_, err = g.Grant(t.Context(), to, keys, 13, time.Second, "", 0)
	must.NoError(t, err)
}

// answerTwice answers the orders on a connection with the statuses that status returns, and sends a second
// copy of each response when the next order has arrived.
func answerTwice(c net.Conn, status func(r *http.Request, body []byte) string) {
	defer c.Close()
	r := bufio.NewReader(c)
	repeated := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		response := "HTTP/1.1 " + status(request, body) + "\r\nContent-Length: 0\r\n\r\n"
		_, _ = fmt.Fprint(c, repeated, response)
		repeated = response
	}
}
