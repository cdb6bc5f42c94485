package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/backend"
)

// Guards against an outcome that is more certain than the response allows, and against a
// broken response that is reported as complete.
func TestOutcome(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const notRunHead = "HTTP/1.1 503 Full\r\nBramley-Outcome: not-run\r\n"
	for name, c := range map[string]struct {
		rawResponse string
		want        outcome.Outcome
		fails       bool
	}{
		"ran":                               {okResponse, outcome.Ran, false},
		"chunked":                           {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", outcome.Ran, false},
		"empty":                             {"HTTP/1.1 204 No Content\r\n\r\n", outcome.Ran, false},
		"status 500":                        {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", outcome.Ran, false},
		"interim response first":            {"HTTP/1.1 102 Processing\r\n\r\n" + okResponse, outcome.Ran, false},
		"outcome header not-run":            {notRunHead + "Content-Length: 2\r\n\r\nno", outcome.NotRun, false},
		"outcome header unknown":            {head + "Bramley-Outcome: unknown\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, false},
		"outcome header invalid":            {head + "Bramley-Outcome: maybe\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, false},
		"no response":                       {"", outcome.Unknown, true},
		"partial head":                      {head + "Content-Le", outcome.Unknown, true},
		"not HTTP":                          {"hello\r\n\r\n", outcome.Unknown, true},
		"switched protocol":                 {"HTTP/1.1 101 Switch\r\n\r\n", outcome.Unknown, true},
		"truncated":                         {head + "Content-Length: 3\r\n\r\nok", outcome.Unknown, true},
		"truncated, outcome header not-run": {notRunHead + "Content-Length: 3\r\n\r\nno", outcome.NotRun, true},
		"truncated chunk":                   {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nok", outcome.Unknown, true},
		"last chunk missing":                {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.Unknown, true},
		"endless head":                      {head + "A: " + strings.Repeat("a", 2<<20), outcome.Unknown, true},
		"ended by close":                    {head + "Connection: close\r\n\r\nok", outcome.Unknown, true},
		"ended by close in HTTP/1.0":        {"HTTP/1.0 200 OK\r\n\r\nok", outcome.Unknown, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, dialer := newClient(t, 3)
			done := startRequest(t.Context(), client, newGetRequest())
			server := <-dialer.accepted
			r, _ := server.readRequest(t)
			must.Eq(t, "/keys/a%2Fb?q=1:2", r.RequestURI)
			must.Eq(t, "7", r.Header.Get("Bramley-Fence"))
			must.Eq(t, "3", r.Header.Get("Bramley-Shard"))
			// The client may close the connection before it has read everything.
			_, _ = io.WriteString(server, c.rawResponse)
			server.Close()
			got := <-done
			if c.fails {
				must.Error(t, got.err)
				must.Eq(t, c.want, backend.OutcomeOf(got.err), must.Sprint(got.err))
				return
			}
			must.NoError(t, got.err)
			must.Eq(t, c.want, got.response.Outcome)
		})
	}
}

// Guards against a response that is reported as complete although it was cut off, at any byte.
func TestCutResponse(t *testing.T) {
	for _, complete := range []string{
		okResponse,
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		for end := range len(complete) {
			client, dialer := newClient(t, 3)
			done := startRequest(t.Context(), client, newGetRequest())
			server := <-dialer.accepted
			server.readRequest(t)
			server.writeResponse(t, complete[:end])
			server.Close()
			err := (<-done).err
			must.Error(t, err, must.Sprintf("cut off after %q", complete[:end]))
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
		}
	}
}

// Guards against a response that reaches another request when requests are cancelled at a
// random time.
func TestCancelledRequests(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		io.WriteString(w, r.URL.Path+" "+string(body))
	}))
	defer s.Close()
	client := backend.New(netip.MustParseAddrPort(s.Listener.Addr().String()), 6, &net.Dialer{})
	defer client.Close()
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 100 {
				ctx, cancel := context.WithCancel(t.Context())
				key := fmt.Sprintf("%d-%d", worker, i)
				body := strings.Repeat(key, 1+rng.IntN(20000))
				done := startRequest(ctx, client, &backend.Request{
					Method: "POST", Key: key, Body: strings.NewReader(body), BodyLength: int64(len(body)),
				})
				for range rng.IntN(400) {
					runtime.Gosched()
				}
				if rng.IntN(2) == 0 {
					cancel()
				}
				got := <-done
				cancel()
				if got.err == nil && got.body != "/keys/"+key+" "+body {
					t.Errorf("request %s got the response to another request", key)
				}
			}
		})
	}
	group.Wait()
	must.LessEq(t, 4, client.Counts().Open)
}

// Guards against reporting a request as possibly run although no byte of it was sent.
func TestNothingSent(t *testing.T) {
	brokenBody := io.MultiReader(strings.NewReader("a"), failingReader{})
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	deadlineCtx, stopDeadline := context.WithDeadline(t.Context(), time.Now().Add(time.Hour))
	defer stopDeadline()
	for name, c := range map[string]struct {
		ctx     context.Context
		request *backend.Request
		dialErr error
		want    error
	}{
		"dial refused":               {deadlineCtx, newGetRequest(), errTest, errTest},
		"cancelled":                  {cancelledCtx, newGetRequest(), nil, context.Canceled},
		"start limit passed":         {deadlineCtx, &backend.Request{Method: "GET", StartBefore: time.Now()}, nil, backend.ErrTooLate},
		"broken body":                {deadlineCtx, &backend.Request{Method: "PUT", Body: brokenBody, BodyLength: 2}, nil, errTest},
		"invalid method":             {deadlineCtx, &backend.Request{Method: "GET /"}, nil, backend.ErrInvalid},
		"invalid query":              {deadlineCtx, &backend.Request{Method: "GET", Query: "a b"}, nil, backend.ErrInvalid},
		"line break in header value": {deadlineCtx, &backend.Request{Method: "GET", Header: http.Header{"A": {"1\r\nB: 2"}}}, nil, backend.ErrInvalid},
		"invalid header name":        {deadlineCtx, &backend.Request{Method: "GET", Header: http.Header{"A:b": {"1"}}}, nil, backend.ErrInvalid},
	} {
		client, dialer := newClient(t, 3)
		dialer.dialErr = c.dialErr
		_, err := client.Do(c.ctx, c.request)
		must.ErrorIs(t, err, c.want, must.Sprint(name))
		must.Eq(t, outcome.NotRun, backend.OutcomeOf(err), must.Sprint(name))
	}
}

var errTest = errors.New("test error")

// failingReader is a body whose reads fail with errTest.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errTest }

// Guards against sending a request twice, as net/http does when a reused connection breaks.
func TestNoResend(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	server.readRequest(t)
	server.writeResponse(t, okResponse)
	must.NoError(t, (<-done).err)
	done = startRequest(t.Context(), client, newGetRequest())
	server.readRequest(t)
	server.Close()
	must.Eq(t, outcome.Unknown, backend.OutcomeOf((<-done).err))
	must.Eq(t, 1, client.Counts().Dials)
}

// Guards against a HEAD request that waits for the body which its Content-Length announces.
func TestHeadRequest(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, &backend.Request{Method: "HEAD", Key: "a"})
	server := <-dialer.accepted
	server.readRequest(t)
	server.writeResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	must.NoError(t, (<-done).err)
	must.Eq(t, 1, client.Counts().Idle)
}

// Guards against a connection that carries two requests at once, against more connections
// than allowed, and against opening more than two at the same time.
func TestConnectionLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 5)
		dialer.unblockDials = make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		var requests []chan requestResult
		for range 4 {
			requests = append(requests, startRequest(ctx, client, newGetRequest()))
		}
		synctest.Wait()
		must.Eq(t, 2, dialer.dialsInProgress.Load())
		close(dialer.unblockDials)
		var servers []*serverConn
		for range 3 {
			server := <-dialer.accepted
			server.readRequest(t)
			servers = append(servers, server)
		}
		synctest.Wait()
		must.Eq(t, 3, client.Counts().Open)
		must.Eq(t, 0, len(dialer.accepted))
		servers[1].writeResponse(t, okResponse)
		servers[1].readRequest(t)
		must.Eq(t, 3, client.Counts().Dials)
		cancel()
		ran := 0
		for _, r := range requests {
			got := <-r
			if got.err == nil {
				ran++
				continue
			}
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
			must.ErrorIs(t, got.err, context.Canceled)
		}
		must.Eq(t, 1, ran)
		must.Eq(t, 0, client.Counts().Open, must.Sprint("a cancelled request's connection must not be used again"))
	})
}

// Guards against an unrequested second response that is taken as the response to the next
// request on the connection.
func TestCrossedAnswer(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	server.readRequest(t)
	server.writeResponse(t, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	must.Eq(t, "ok", (<-done).body)
	done = startRequest(t.Context(), client, newGetRequest())
	server = <-dialer.accepted
	server.readRequest(t)
	server.writeResponse(t, okResponse)
	must.Eq(t, "ok", (<-done).body)
}

// Guards against a deadline that is not sent to the server or does not end the request.
func TestRequestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 3)
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		done := startRequest(ctx, client, &backend.Request{Method: "GET", Key: "a", StartBefore: time.Now().Add(time.Second)})
		r, _ := (<-dialer.accepted).readRequest(t)
		must.Eq(t, "250", r.Header.Get("Bramley-Timeout"))
		must.Eq(t, "946684801000", r.Header.Get("Bramley-Start-Before"))
		err := (<-done).err
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
	})
}

// Guards against bodies that arrive changed, and against passing on headers that the caller
// must not set.
func TestBody(t *testing.T) {
	large := strings.Repeat("0123456789", 10000)
	for name, c := range map[string]struct {
		body   string
		length int64
	}{
		"empty":          {"", 0},
		"small":          {"small", 5},
		"large":          {large, int64(len(large))},
		"unknown length": {large, -1},
		"empty chunked":  {"", -1},
	} {
		t.Run(name, func(t *testing.T) {
			client, dialer := newClient(t, 3)
			done := startRequest(t.Context(), client, &backend.Request{
				Method: "POST", Key: "a", Body: strings.NewReader(c.body), BodyLength: c.length,
				Header: http.Header{"Bramley-Fence": {"9"}, "Content-Length": {"1"}, "A": {"b"}},
			})
			server := <-dialer.accepted
			r, body := server.readRequest(t)
			must.Eq(t, c.body, body)
			must.Eq(t, []string{"0"}, r.Header.Values("Bramley-Fence"))
			must.Eq(t, "b", r.Header.Get("A"))
			server.writeResponse(t, okResponse)
			must.NoError(t, (<-done).err)
		})
	}
}

// Guards against a broken upload that reaches the server as a complete request.
func TestBrokenUpload(t *testing.T) {
	for name, length := range map[string]int64{"length": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			client, dialer := newClient(t, 3)
			body := io.MultiReader(strings.NewReader("part"), failingReader{})
			done := startRequest(t.Context(), client, &backend.Request{Method: "POST", Body: body, BodyLength: length})
			server := <-dialer.accepted
			r, err := http.ReadRequest(server.reader)
			must.NoError(t, err)
			_, err = io.ReadAll(r.Body)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			got := <-done
			must.ErrorIs(t, got.err, errTest)
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
		})
	}
}

// Guards against losing a refusal, or reusing the connection, when the response arrives while
// the body is still being sent.
func TestRefusedUpload(t *testing.T) {
	client, dialer := newClient(t, 3)
	body, bodyWriter := io.Pipe()
	done := startRequest(t.Context(), client, &backend.Request{Method: "POST", Body: body, BodyLength: -1})
	server := <-dialer.accepted
	_, err := http.ReadRequest(server.reader)
	must.NoError(t, err)
	server.writeResponse(t, "HTTP/1.1 503 Full\r\nBramley-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
	got := <-done
	must.NoError(t, got.err)
	must.Eq(t, outcome.NotRun, got.response.Outcome)
	must.Eq(t, 0, client.Counts().Open)
	bodyWriter.Close()
}

// Guards against a request that fails because it is sent on an idle connection that the
// server has closed.
func TestClosedIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client := backend.New(netip.MustParseAddrPort(l.Addr().String()), 3, &net.Dialer{})
	defer client.Close()
	for range 2 {
		done := startRequest(t.Context(), client, newGetRequest())
		accepted, err := l.Accept()
		must.NoError(t, err)
		server := &serverConn{accepted, bufio.NewReader(accepted)}
		server.readRequest(t)
		server.writeResponse(t, okResponse)
		must.NoError(t, (<-done).err)
		server.Close()
	}
	must.Eq(t, 2, client.Counts().Dials)
}

// startRawServer starts a loopback server that answers each small request with a fixed
// response without allocating, and returns its address.
func startRawServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, out := make([]byte, 4096), []byte(okResponse)
				for {
					n, err := c.Read(in)
					if err != nil {
						return
					}
					if !bytes.HasSuffix(in[:n], []byte("body")) {
						continue
					}
					if _, err := c.Write(out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkDo measures a small request over a loopback connection.
func BenchmarkDo(b *testing.B) {
	client := backend.New(netip.MustParseAddrPort(startRawServer(b)), 3, &net.Dialer{})
	defer client.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	body := bytes.NewReader(nil)
	b.ReportAllocs()
	for b.Loop() {
		body.Reset([]byte("body"))
		r, err := client.Do(ctx, &backend.Request{Method: "POST", Key: "a", Body: body, BodyLength: 4, Fence: 7, Shard: 3})
		must.NoError(b, err)
		_, err = io.Copy(io.Discard, r.Body)
		must.NoError(b, err)
		r.Body.Close()
	}
}

// BenchmarkTransport measures the same request with the Transport of net/http, for comparison.
func BenchmarkTransport(b *testing.B) {
	address := startRawServer(b)
	client := &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		q, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/keys/a", bytes.NewReader([]byte("body")))
		must.NoError(b, err)
		q.Header.Set("Bramley-Fence", "7")
		q.Header.Set("Bramley-Shard", "3")
		r, err := client.Do(q)
		must.NoError(b, err)
		_, err = io.Copy(io.Discard, r.Body)
		must.NoError(b, err)
		r.Body.Close()
	}
}

// Guards against a second copy of a response, which arrives after the next request was sent on the
// connection, that is taken as the response to that request.
func TestLateSecondResponse(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	first, _ := server.readRequest(t)
	copied := fmt.Sprintf("HTTP/1.1 200 OK\r\nBramley-Exchange: %s\r\nContent-Length: 5\r\n\r\nfirst", first.Header.Get("Bramley-Exchange"))
	server.writeResponse(t, copied)
	must.Eq(t, "first", (<-done).body)
	done = startRequest(t.Context(), client, newGetRequest())
	server.readRequest(t)
	go func() { _, _ = io.WriteString(server, copied) }()
	result := <-done
	must.NotEq(t, "first", result.body)
	must.Error(t, result.err)
	must.Eq(t, 0, client.Counts().Open)
}

// Guards against a refusal without a number, on a connection of a server that repeats the numbers, that is
// taken for the answer to a later request: that one may be running.
func TestLateRefusalWithoutNumber(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	first, _ := server.readRequest(t)
	server.writeResponse(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nBramley-Exchange: %s\r\nContent-Length: 5\r\n\r\nfirst", first.Header.Get("Bramley-Exchange")))
	must.Eq(t, "first", (<-done).body)
	done = startRequest(t.Context(), client, newGetRequest())
	server.readRequest(t)
	go func() {
		_, _ = io.WriteString(server, "HTTP/1.1 503 Full\r\nBramley-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno")
	}()
	result := <-done
	must.Error(t, result.err)
	must.Eq(t, outcome.Unknown, backend.OutcomeOf(result.err))
	must.Eq(t, 0, client.Counts().Open)
}
