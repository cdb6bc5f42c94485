package gatewayprocess

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against calls to the store and orders to backend servers that read a response head without end.
func TestEndlessHead(t *testing.T) {
	for name, text := range map[string]string{
		"header line":       "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 1<<20),
		"header lines":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: a\r\n", 1<<18),
		"interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<16),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, text)
					_ = c.Close()
				}
			}()
			dial := (&net.Dialer{}).DialContext
			for _, c := range []struct {
				client *http.Client
				limit  string
			}{{newClient(&net.Dialer{}), "exceeded 65536 bytes"}, {&http.Client{Transport: newOrderTransport(dial)}, "exceeded 4096 bytes"}} {
				response, err := c.client.Get("http://" + l.Addr().String())
				if err == nil {
					response.Body.Close()
				}
				must.ErrorContains(t, err, c.limit)
			}
		})
	}
}
