package origin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a part of a response that counts as complete: a response without a length ends with its connection, and
// the failed write of the upload takes the error that the read would have got.
func TestConnectionEndsDuringUpload(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "close": false} {
		for _, head := range []string{okHead, okHead + "Connection: close\r\n", strings.Replace(okHead, "HTTP/1.1", "HTTP/1.0", 1)} {
			t.Run(fmt.Sprintf("%s %.8s %d", name, head, len(head)), func(t *testing.T) {
				complete := 0
				for range 20 {
					s, client := startUnhurried(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(conn, head+"\r\npart of the body")
						// The client is in the middle of its upload, and has had time to read the part.
						_, _ = io.CopyN(io.Discard, r, 1<<20)
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					r := request("1")
					r.Method, r.Body, r.HasBody, r.Deadline = http.MethodPost, make([]byte, 16<<20), true, time.Now().Add(10*time.Second)
					if _, err := client.Do(t.Context(), r); err == nil {
						complete++
					} else {
						must.True(t, asFailure(t, err).Sent)
					}
					client.Close()
					must.Eq(t, 1, s.connections())
				}
				must.Zero(t, complete, must.Sprint("parts of 20 that count as complete"))
			})
		}
	}
}

// Guards against the end of a response without a length that is not accepted although the request has been sent whole.
func TestResponseWithoutLength(t *testing.T) {
	_, client := startUnhurried(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(conn, okHead+"\r\nwhole")
	})
	r := request("1")
	r.Method, r.Body, r.HasBody, r.Deadline = http.MethodPost, make([]byte, 1<<20), true, time.Now().Add(10*time.Second)
	response, err := client.Do(t.Context(), r)
	must.NoError(t, err)
	must.Eq(t, "whole", string(response.Body))
}

// Guards against an answer with a status that HTTP does not know, which a client would get as it is, and against a
// connection that is used again after it.
func TestImpossibleStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "0", "7", "20", "2000", "+200", "-200", "20x", "2 0", ""} {
		t.Run(status, func(t *testing.T) {
			s, client := startUnhurried(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, ok := readRequest(r); !ok {
						return
					}
					text := formatResponse("1", "", "ok")
					if n == 1 {
						text = strings.Replace(text, "200", status, 1)
					}
					_, _ = io.WriteString(conn, text)
				}
			})
			_, err := client.Do(t.Context(), request("1"))
			must.Error(t, err)
			must.True(t, asFailure(t, err).Sent)
			_, err = client.Do(t.Context(), request("1"))
			must.NoError(t, err)
			must.Eq(t, 2, s.connections())
		})
	}
}
