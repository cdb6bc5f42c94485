package grantpool_test

import (
	"bufio"
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
			go answerTwice(c, "i-2")
		}
	}()
	address := netip.MustParseAddrPort(l.Addr().String())
	g := newClient()
	_, err = g.Grant(t.Context(), platform.Recipient{ID: "i-1", Address: address}, keys, 12, time.Second, "", 0)
	must.ErrorIs(t, err, platform.ErrMisdirected)
	_, err = g.Grant(t.Context(), platform.Recipient{ID: "i-2", Address: address}, keys, 13, time.Second, "", 0)
	must.NoError(t, err)
}

// answerTwice answers the orders on a connection as the given instance, and sends a second copy of each
// response when the next order has arrived.
func answerTwice(c net.Conn, id string) {
	defer c.Close()
	r := bufio.NewReader(c)
	repeated := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if request.Header.Get("Bramleystand-Expect-Instance") != id {
			response = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = fmt.Fprint(c, repeated, response)
		repeated = response
	}
}
