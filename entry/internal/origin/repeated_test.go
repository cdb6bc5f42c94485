package origin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a second copy of a refusal on a kept connection that is taken for the answer to a later
// request: one with the same identifier that another call sends, or any one if the copy has no identifier.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		second, identifier string
		fails              bool
	}{
		"same identifier":    {"1", "Id: 1\r\n", false},
		"another identifier": {"2", "Id: 1\r\n", false},
		"no identifier":      {"2", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startUnhurried(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for onConnection := 1; ; onConnection++ {
					id, ok := readRequest(r)
					if !ok {
						return
					}
					switch {
					case n == 1 && onConnection == 1:
						_, _ = fmt.Fprintf(conn, refusal, "Id: 1\r\n")
					case onConnection > 1:
						_, _ = fmt.Fprintf(conn, refusal, c.identifier)
						fallthrough
					default:
						_, _ = io.WriteString(conn, formatResponse(id, "", "ran"))
					}
				}
			})
			first, err := client.Do(t.Context(), request("1"))
			must.NoError(t, err)
			must.True(t, first.NotRun)
			second, err := client.Do(t.Context(), request(c.second))
			if c.fails {
				must.True(t, asFailure(t, err).Sent)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "ran", string(second.Body))
		})
	}
}
