package origin_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a response that counts as complete although the server stopped at some byte of it, with a
// close or a reset. Only a response without a length ends with its connection.
func TestCutResponse(t *testing.T) {
	for name, c := range map[string]struct{ head, rest string }{
		"length":            {"", formatResponse("1", "X: y\r\n", "0123456789")},
		"length last":       {"", "HTTP/1.1 200 OK\r\nProof: yes\r\nId: 1\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("a", 100)},
		"interim response":  {"", "HTTP/1.1 102 Processing\r\nId: 1\r\n\r\n" + formatResponse("1", "", "ok")},
		"other response":    {"", formatResponse("2", "", "other") + formatResponse("1", "", "ok")},
		"no body":           {"", "HTTP/1.1 204 No Content\r\nId: 1\r\nProof: yes\r\n\r\n"},
		"chunks":            {"", chunkedHead + "5\r\nhello\r\n10;x=y\r\n0123456789abcdef\r\n0\r\n\r\n"},
		"chunks, trailer":   {"", chunkedHead + "5\r\nhello\r\n0\r\nX: y\r\nZ: w\r\n\r\n"},
		"HTTP/1.0, length":  {"", "HTTP/1.0 200 OK\r\nId: 1\r\nProof: yes\r\nContent-Length: 2\r\n\r\nok"},
		"bare line feeds":   {"", "HTTP/1.1 200 OK\nId: 1\nProof: yes\nContent-Length: 2\n\nok"},
		"continued line":    {"", "HTTP/1.1 200 OK\r\nId: 1\r\nProof: yes\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
		"no length, closed": {"", okHead + "\r\n"},
		"no length, reset":  {okHead + "\r\n", "0123456789"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				if c.head != "" && !reset {
					continue
				}
				for end := range len(c.rest) {
					cut := c.head + c.rest[:end]
					_, client := startUnhurried(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						readRequest(r)
						_, _ = io.WriteString(conn, cut)
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					r := request("1")
					r.Deadline = time.Now().Add(10 * time.Second)
					_, err := client.Do(t.Context(), r)
					must.Error(t, err, must.Sprintf("cut after %q, reset %t", cut, reset))
					must.True(t, asFailure(t, err).Sent)
					client.Close()
				}
			}
		})
	}
}
