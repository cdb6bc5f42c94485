package origin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/origin"
)

const (
	okHead      = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: yes\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	// maxEndless is after how many bytes sendEndlessly stops, so that a client that reads everything
	// fails its test and does not exhaust the memory.
	maxEndless = 48 << 20
)

// sendEndlessly sends a prefix and then repeats a text until the client has closed the connection. It
// returns nil if the client has received maxEndless bytes.
func sendEndlessly(c net.Conn, prefix, text string) error {
	if _, err := io.WriteString(c, prefix); err != nil {
		return err
	}
	block := strings.Repeat(text, 1+(32<<10)/len(text))
	for sent := 0; sent < maxEndless; sent += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
	return nil
}

// unhurriedDialer opens connections without the client's time limit, so that a busy machine does not
// fail the tests.
type unhurriedDialer struct{ net.Dialer }

func (d *unhurriedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.Dialer.DialContext(context.WithoutCancel(ctx), network, address)
}

// startUnhurried is startServer with a client that has an unhurriedDialer.
func startUnhurried(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) (*testServer, *origin.Client) {
	s, _ := startServer(t, handle)
	client := origin.New(netip.MustParseAddrPort(s.listener.Addr().String()), 10, &unhurriedDialer{}, testHeaderFields{})
	t.Cleanup(client.Close)
	return s, client
}

// Guards against a client that reads bytes without end which are no response, until its memory is
// exhausted or the deadline of the request has passed.
func TestEndlessResponse(t *testing.T) {
	for _, c := range []struct{ name, prefix, text, cause string }{
		{"status line", "HTTP/1.1 200 ", "a", "head is larger than 64 KiB"},
		{"header line", okHead + "X: ", "a", "head is larger than 64 KiB"},
		{"header lines", okHead, "X: a\r\n", "head is larger than 64 KiB"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", "head is larger than 64 KiB"},
		{"no HTTP", "", "\x00\x01", "not an HTTP response"},
		{"lines without HTTP", "", "hello\r\n", "not an HTTP response"},
		{"chunked body", chunkedHead, "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", "body is larger than 16 MiB"},
		{"small chunks", chunkedHead, "0000000000000008\r\naaaaaaaa\r\n", "takes more than 32 MiB"},
		{"chunk extension", chunkedHead + "5;", "a", "line too long"},
		{"trailer line", chunkedHead + "0\r\nX: ", "a", "suspiciously long trailer"},
		{"trailer lines", chunkedHead + "0\r\n", "X: a\r\n", "suspiciously long trailer"},
		{"body without length", okHead + "\r\n", "a", "body is larger than 16 MiB"},
		{"body of a declared length", okHead + "Content-Length: 1000000000000\r\n\r\n", "a", "body is larger than 16 MiB"},
		{"responses to other requests", "", formatResponse("2", "", "a"), "does not repeat the identifier"},
		{"response to another request", strings.Replace(chunkedHead, "Id: 1", "Id: 2", 1), "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", "body is larger than 16 MiB"},
		{"response without identifier", "HTTP/1.1 200 OK\r\n\r\n", "a", "does not repeat the identifier"},
	} {
		for name, earlier := range map[string]int{"new connection": 0, "reused connection": 1} {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				ended := make(chan error, 1)
				s, client := startUnhurried(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					for range earlier {
						readRequest(r)
						_, _ = io.WriteString(conn, formatResponse("0", "", "x"))
					}
					readRequest(r)
					ended <- sendEndlessly(conn, c.prefix, c.text)
				})
				for range earlier {
					_, err := client.Do(t.Context(), request("0"))
					must.NoError(t, err)
				}
				_, err := client.Do(t.Context(), request("1"))
				failure := asFailure(t, err)
				must.True(t, failure.Sent)
				must.Eq(t, earlier > 0, failure.Reused)
				must.Error(t, <-ended, must.Sprint("the connection must be closed while the server sends"))
				must.ErrorContains(t, err, c.cause)
				must.Eq(t, 1, s.connections())
			})
		}
	}
}

// Guards against a response that is never complete, byte by byte, and holds the request beyond its
// deadline or leaves the connection open.
func TestTrickledResponse(t *testing.T) {
	for _, row := range []struct{ name, prefix, text string }{
		{"header line", okHead + "X: ", "a"},
		{"header lines", okHead, "X: a\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"chunked body", chunkedHead, "1\r\na\r\n"},
		{"trailer line", chunkedHead + "0\r\nX: ", "a"},
		{"body without length", okHead + "\r\n", "a"},
	} {
		t.Run(row.name, func(t *testing.T) {
			ended := make(chan error, 1)
			_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, err := io.WriteString(c, row.prefix)
				for err == nil {
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(c, row.text)
				}
				ended <- err
			})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := client.Do(ctx, request("1"))
			must.ErrorIs(t, err, context.DeadlineExceeded)
			must.True(t, asFailure(t, err).Sent)
			must.Error(t, <-ended)
		})
	}
}

// Guards against a request that waits until its deadline for the end of bytes that are no response.
func TestTrickledBytesWithoutHTTP(t *testing.T) {
	ended := make(chan error, 1)
	_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := io.WriteString(c, "HTTX")
		for err == nil {
			time.Sleep(time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
		ended <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := client.Do(ctx, request("1"))
	must.ErrorContains(t, err, "not an HTTP response")
	must.True(t, asFailure(t, err).Sent)
	must.Error(t, <-ended)
}

// Guards against errors, and so log lines, that repeat a response head of up to 64 KiB.
func TestErrorTextIsShort(t *testing.T) {
	for name, text := range map[string]string{
		"status code": "HTTP/1.1 " + strings.Repeat("a", 60000) + "\r\n\r\n",
		"header line": okHead + strings.Repeat("a", 60000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			_, err := client.Do(t.Context(), request("1"))
			must.True(t, asFailure(t, err).Sent)
			must.LessEq(t, 500, len(err.Error()))
			must.StrContains(t, err.Error(), "malformed")
		})
	}
}

// Guards against waiting for a body that can't be used: one without identifier, or declared to be larger
// than 16 MiB. The server sends only the head.
func TestUnusableHead(t *testing.T) {
	for name, head := range map[string]string{
		"without identifier": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"too large":          okHead + "Content-Length: 16777217\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, head)
				_, _ = r.ReadByte()
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := client.Do(ctx, request("1"))
			must.True(t, asFailure(t, err).Sent)
			must.NoError(t, ctx.Err())
		})
	}
}

// Guards against refusing a response of the largest size, and one to a HEAD request, which declares the
// length of a body that it does not have.
func TestLargestResponse(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<20)
	for name, text := range map[string]string{
		"length":         formatResponse("1", "", body),
		"without length": okHead + "\r\n" + body,
		"chunked":        chunkedHead + strings.Repeat("1000\r\n"+body[:4096]+"\r\n", 4096) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			response, err := client.Do(t.Context(), request("1"))
			must.NoError(t, err)
			must.True(t, body == string(response.Body))
		})
	}
	_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okHead+"Content-Length: 16777217\r\n\r\n")
	})
	r := request("1")
	r.Method = "HEAD"
	_, err := client.Do(t.Context(), r)
	must.NoError(t, err)
}

// Guards against an idle connection on which a server sends without end: the bytes would stay in the
// buffers of the kernel, which count as memory of the process, until the next request.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	kept, ended := make(chan struct{}), make(chan error, 1)
	_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, formatResponse("1", "", "x"))
		<-kept
		ended <- sendEndlessly(c, "", "a")
	})
	_, err := client.Do(t.Context(), request("1"))
	must.NoError(t, err)
	close(kept)
	select {
	case err := <-ended:
		must.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the idle connection is still open")
	}
}

// Guards against idle connections that stay open beyond the time for which they may be used, and hold a
// file descriptor each until the next request.
func TestExpiredIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	_, client := startUnhurried(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, formatResponse("1", "Keep-Alive: timeout=1\r\n", "x"))
		_, _ = r.ReadByte()
		close(closed)
	})
	_, err := client.Do(t.Context(), request("1"))
	must.NoError(t, err)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the expired connection is still open")
	}
}

// Guards against a response for which no memory is left but that is read nevertheless, and against
// memory that stays reserved after such a response.
func TestNoMemoryForResponse(t *testing.T) {
	budget := bodybudget.New(1 << 20)
	ended := make(chan error, 1)
	_, client := startUnhurried(t, func(n int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		if n == 1 {
			ended <- sendEndlessly(c, okHead+"\r\n", "a")
			return
		}
		_, _ = io.WriteString(c, formatResponse("1", "", strings.Repeat("a", 300<<10)))
	})
	r := request("1")
	r.Memory = budget.Open()
	_, err := client.Do(t.Context(), r)
	must.ErrorContains(t, err, "no memory left")
	must.True(t, asFailure(t, err).Sent)
	must.Error(t, <-ended)
	must.Eq(t, 0, budget.Used())
	response, err := client.Do(t.Context(), r)
	must.NoError(t, err)
	must.Len(t, 300<<10, response.Body)
	must.Eq(t, int64(cap(response.Body)), budget.Used())
	r.Memory.Close()
	must.Eq(t, 0, budget.Used())
}

// Guards against large heads for which no memory is reserved, and against memory that stays reserved after a
// response that failed, was skipped, or whose request has ended.
func TestMemoryOfHead(t *testing.T) {
	large := "X: " + strings.Repeat("a", 20<<10) + "\r\n"
	for _, c := range []struct {
		name, text, cause string
		limit             int64
		reserved          bool
	}{
		{"used", formatResponse("1", large, "x"), "", 1 << 20, true},
		{"skipped", formatResponse("2", large, "x") + formatResponse("1", "", "x"), "", 1 << 20, false},
		{"small", formatResponse("1", "", "x"), "", 1 << 10, false},
		{"no memory", formatResponse("1", large, "x"), "no memory left", 100 << 10, false},
		{"broken off", "HTTP/1.1 200 OK\r\n" + large, "unexpected EOF", 1 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := bodybudget.New(c.limit)
			_, client := startUnhurried(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(conn, c.text)
				_ = conn.(*net.TCPConn).CloseWrite()
			})
			r := request("1")
			r.Memory = budget.Open()
			_, err := client.Do(t.Context(), r)
			if c.cause != "" {
				must.ErrorContains(t, err, c.cause)
			} else {
				must.NoError(t, err)
			}
			must.Eq(t, c.reserved, budget.Used() > 0)
			r.Memory.Close()
			must.Eq(t, 0, budget.Used())
		})
	}
}
