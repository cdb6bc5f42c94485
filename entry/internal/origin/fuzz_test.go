package origin_test

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/origin"
)

// scriptedDialer opens connections to a server that reads a request and then writes fixed bytes and closes.
type scriptedDialer struct{ text []byte }

// DialContext implements origin.Dialer.
func (d scriptedDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		_ = server.SetDeadline(time.Now().Add(5 * time.Second))
		buffer := make([]byte, 4<<10)
		var head string
		for !strings.Contains(head, "\r\n\r\n") {
			n, err := server.Read(buffer)
			if err != nil {
				return
			}
			head += string(buffer[:n])
		}
		_, _ = server.Write(d.text)
	}()
	return client, nil
}

// FuzzResponse guards against bytes of a server that end the process, or that are passed on as a whole response although
// they are none: with a status that HTTP does not have, without the identifier, or with less than the length.
func FuzzResponse(f *testing.F) {
	ok := formatResponse("1", "", "ok")
	for _, text := range []string{
		ok, okHead + "\r\npart", chunkedHead + "2\r\nok\r\n0\r\n\r\n", chunkedHead + "2\r\nok\r\n", chunkedHead + "fffffffffffffffff\r\nok",
		strings.Replace(ok, "1.1", "1.0", 1), strings.Replace(ok, "200", "000", 1), strings.Replace(ok, "200", "099", 1), strings.Replace(ok, "200", "600", 1),
		strings.Replace(ok, "200", "20", 1), strings.Replace(ok, "200", "2000", 1), strings.Replace(ok, "200", "+20", 1), strings.Replace(ok, "200", "2x0", 1),
		"HTTP/1.1 102 Processing\r\n\r\n" + ok, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + ok, "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n",
		strings.Replace(ok, "200", "204", 1), strings.Replace(ok, "200", "304", 1), ok + "more", formatResponse("2", "", "other") + ok,
		strings.Replace(ok, "Content-Length: 2", "Content-Length: 3", 1), strings.Replace(ok, "Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3", 1),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		client := origin.New(netip.MustParseAddrPort("127.0.0.1:1"), 1, scriptedDialer{text}, testHeaderFields{})
		defer client.Close()
		response, err := client.Do(t.Context(), request("1"))
		if err != nil {
			must.True(t, asFailure(t, err).Sent)
			return
		}
		must.Between(t, 200, response.Status, 599)
		must.Eq(t, "1", response.Header.Get("Id"))
		must.LessEq(t, len(text), len(response.Body))
		if length, err := strconv.Atoi(response.Header.Get("Content-Length")); err == nil && len(response.Header["Transfer-Encoding"]) == 0 && response.Status != 204 && response.Status != 304 {
			must.Eq(t, length, len(response.Body))
		}
	})
}
