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

// Guards against an outcome that promises more than is known, and against a broken answer that ends cleanly.
func TestOutcome(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const marked = "HTTP/1.1 503 Full\r\nBramley-Outcome: not-run\r\n"
	for name, c := range map[string]struct {
		answer string
		want   outcome.Outcome
		fails  bool
	}{
		"ran":                  {ok, outcome.Ran, false},
		"chunked":              {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", outcome.Ran, false},
		"empty":                {"HTTP/1.1 204 No Content\r\n\r\n", outcome.Ran, false},
		"failed":               {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", outcome.Ran, false},
		"interim first":        {"HTTP/1.1 102 Processing\r\n\r\n" + ok, outcome.Ran, false},
		"marked not run":       {marked + "Content-Length: 2\r\n\r\nno", outcome.NotRun, false},
		"marked unknown":       {head + "Bramley-Outcome: unknown\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, false},
		"marked otherwise":     {head + "Bramley-Outcome: maybe\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, false},
		"no answer":            {"", outcome.Unknown, true},
		"half a head":          {head + "Content-Le", outcome.Unknown, true},
		"no HTTP":              {"hello\r\n\r\n", outcome.Unknown, true},
		"switched protocol":    {"HTTP/1.1 101 Switch\r\n\r\n", outcome.Unknown, true},
		"truncated":            {head + "Content-Length: 3\r\n\r\nok", outcome.Unknown, true},
		"truncated not run":    {marked + "Content-Length: 3\r\n\r\nno", outcome.NotRun, true},
		"truncated chunk":      {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nok", outcome.Unknown, true},
		"last chunk missing":   {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.Unknown, true},
		"endless head":         {head + "A: " + strings.Repeat("a", 2<<20), outcome.Unknown, true},
		"ended by closing":     {head + "Connection: close\r\n\r\nok", outcome.Unknown, true},
		"ended by closing 1.0": {"HTTP/1.0 200 OK\r\n\r\nok", outcome.Unknown, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, p := newClient(t, 3)
			done := start(t.Context(), client, get())
			s := <-p.servers
			r, _ := s.request(t)
			must.Eq(t, "/keys/a%2Fb?q=1:2", r.RequestURI)
			must.Eq(t, "7", r.Header.Get("Bramley-Fence"))
			must.Eq(t, "3", r.Header.Get("Bramley-Shard"))
			// The client may close the connection before it has read everything.
			_, _ = io.WriteString(s, c.answer)
			s.Close()
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

// Guards against an answer that ends cleanly although it was cut, wherever that happens.
func TestCut(t *testing.T) {
	for _, whole := range []string{
		ok,
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		for end := range len(whole) {
			client, p := newClient(t, 3)
			done := start(t.Context(), client, get())
			s := <-p.servers
			s.request(t)
			s.answer(t, whole[:end])
			s.Close()
			err := (<-done).err
			must.Error(t, err, must.Sprintf("cut after %q", whole[:end]))
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
		}
	}
}

// Guards against answers that reach another request when requests are cancelled at any moment.
func TestCancelledAnswers(t *testing.T) {
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
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 100 {
				ctx, cancel := context.WithCancel(t.Context())
				key := fmt.Sprintf("%d-%d", worker, i)
				body := strings.Repeat(key, 1+random.IntN(20000))
				done := start(ctx, client, &backend.Request{
					Method: "POST", Key: key, Body: strings.NewReader(body), Length: int64(len(body)),
				})
				for range random.IntN(400) {
					runtime.Gosched()
				}
				if random.IntN(2) == 0 {
					cancel()
				}
				got := <-done
				cancel()
				if got.err == nil && got.body != "/keys/"+key+" "+body {
					t.Errorf("request %s got another answer", key)
				}
			}
		})
	}
	group.Wait()
	must.LessEq(t, 4, client.Counts().Open)
}

// Guards against requests that are marked as possibly run although nothing was sent.
func TestNothingSent(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("a"), failing{})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	short, stop := context.WithDeadline(t.Context(), time.Now().Add(time.Hour))
	defer stop()
	for name, c := range map[string]struct {
		ctx     context.Context
		request *backend.Request
		refusal error
		want    error
	}{
		"refused":       {short, get(), errOops, errOops},
		"cancelled":     {cancelled, get(), nil, context.Canceled},
		"lease over":    {short, &backend.Request{Method: "GET", StartBefore: time.Now()}, nil, backend.ErrLate},
		"broken body":   {short, &backend.Request{Method: "PUT", Body: broken, Length: 2}, nil, errOops},
		"bad method":    {short, &backend.Request{Method: "GET /"}, nil, backend.ErrInvalid},
		"bad query":     {short, &backend.Request{Method: "GET", Query: "a b"}, nil, backend.ErrInvalid},
		"split header":  {short, &backend.Request{Method: "GET", Header: http.Header{"A": {"1\r\nB: 2"}}}, nil, backend.ErrInvalid},
		"broken header": {short, &backend.Request{Method: "GET", Header: http.Header{"A:b": {"1"}}}, nil, backend.ErrInvalid},
	} {
		client, p := newClient(t, 3)
		p.refusal = c.refusal
		_, err := client.Do(c.ctx, c.request)
		must.ErrorIs(t, err, c.want, must.Sprint(name))
		must.Eq(t, outcome.NotRun, backend.OutcomeOf(err), must.Sprint(name))
	}
}

var errOops = errors.New("oops")

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errOops }

// Guards against a request that is sent again, as net/http does when a reused connection breaks.
func TestNoRepeat(t *testing.T) {
	client, p := newClient(t, 3)
	done := start(t.Context(), client, get())
	s := <-p.servers
	s.request(t)
	s.answer(t, ok)
	must.NoError(t, (<-done).err)
	done = start(t.Context(), client, get())
	s.request(t)
	s.Close()
	must.Eq(t, outcome.Unknown, backend.OutcomeOf((<-done).err))
	must.Eq(t, 1, client.Counts().Dials)
}

// Guards against a request for a head that waits for a body.
func TestHead(t *testing.T) {
	client, p := newClient(t, 3)
	done := start(t.Context(), client, &backend.Request{Method: "HEAD", Key: "a"})
	s := <-p.servers
	s.request(t)
	s.answer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	must.NoError(t, (<-done).err)
	must.Eq(t, 1, client.Counts().Idle)
}

// Guards against a connection with two unanswered requests, against more connections than allowed
// and against more than two that are opened at once.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 5)
		p.gate = make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		var requests []chan result
		for range 4 {
			requests = append(requests, start(ctx, client, get()))
		}
		synctest.Wait()
		must.Eq(t, 2, p.dialing.Load())
		close(p.gate)
		var servers []*peer
		for range 3 {
			s := <-p.servers
			s.request(t)
			servers = append(servers, s)
		}
		synctest.Wait()
		must.Eq(t, 3, client.Counts().Open)
		must.Eq(t, 0, len(p.servers))
		servers[1].answer(t, ok)
		servers[1].request(t)
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

// Guards against an answer that is given to the next request on the connection.
func TestCrossedAnswer(t *testing.T) {
	client, p := newClient(t, 3)
	done := start(t.Context(), client, get())
	s := <-p.servers
	s.request(t)
	s.answer(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	must.Eq(t, "ok", (<-done).body)
	done = start(t.Context(), client, get())
	s = <-p.servers
	s.request(t)
	s.answer(t, ok)
	must.Eq(t, "ok", (<-done).body)
}

// Guards against a deadline that the server does not learn or that does not end the exchange.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 3)
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		done := start(ctx, client, &backend.Request{Method: "GET", Key: "a", StartBefore: time.Now().Add(time.Second)})
		r, _ := (<-p.servers).request(t)
		must.Eq(t, "250", r.Header.Get("Bramley-Timeout"))
		must.Eq(t, "946684801000", r.Header.Get("Bramley-Start-Before"))
		err := (<-done).err
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
	})
}

// Guards against bodies that are changed on their way, and against headers that the caller must not set.
func TestBody(t *testing.T) {
	large := strings.Repeat("0123456789", 10000)
	for name, c := range map[string]struct {
		body   string
		length int64
	}{
		"empty":         {"", 0},
		"small":         {"small", 5},
		"large":         {large, int64(len(large))},
		"no length":     {large, -1},
		"empty chunked": {"", -1},
	} {
		t.Run(name, func(t *testing.T) {
			client, p := newClient(t, 3)
			done := start(t.Context(), client, &backend.Request{
				Method: "POST", Key: "a", Body: strings.NewReader(c.body), Length: c.length,
				Header: http.Header{"Bramley-Fence": {"9"}, "Content-Length": {"1"}, "A": {"b"}},
			})
			s := <-p.servers
			r, body := s.request(t)
			must.Eq(t, c.body, body)
			must.Eq(t, []string{"0"}, r.Header.Values("Bramley-Fence"))
			must.Eq(t, "b", r.Header.Get("A"))
			s.answer(t, ok)
			must.NoError(t, (<-done).err)
		})
	}
}

// Guards against a caller's broken upload that reaches the server as a complete one.
func TestBrokenUpload(t *testing.T) {
	for name, length := range map[string]int64{"length": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			client, p := newClient(t, 3)
			body := io.MultiReader(strings.NewReader("part"), failing{})
			done := start(t.Context(), client, &backend.Request{Method: "POST", Body: body, Length: length})
			s := <-p.servers
			r, err := http.ReadRequest(s.reader)
			must.NoError(t, err)
			_, err = io.ReadAll(r.Body)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			got := <-done
			must.ErrorIs(t, got.err, errOops)
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
		})
	}
}

// Guards against a refusal that is lost, or a connection used again, because the body was still being sent.
func TestRefusedUpload(t *testing.T) {
	client, p := newClient(t, 3)
	body, feed := io.Pipe()
	done := start(t.Context(), client, &backend.Request{Method: "POST", Body: body, Length: -1})
	s := <-p.servers
	_, err := http.ReadRequest(s.reader)
	must.NoError(t, err)
	s.answer(t, "HTTP/1.1 503 Full\r\nBramley-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
	got := <-done
	must.NoError(t, got.err)
	must.Eq(t, outcome.NotRun, got.response.Outcome)
	must.Eq(t, 0, client.Counts().Open)
	feed.Close()
}

// Guards against a request that is lost on an idle connection which the server has closed.
func TestIdleClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client := backend.New(netip.MustParseAddrPort(l.Addr().String()), 3, &net.Dialer{})
	defer client.Close()
	for range 2 {
		done := start(t.Context(), client, get())
		inner, err := l.Accept()
		must.NoError(t, err)
		s := &peer{inner, bufio.NewReader(inner)}
		s.request(t)
		s.answer(t, ok)
		must.NoError(t, (<-done).err)
		s.Close()
	}
	must.Eq(t, 2, client.Counts().Dials)
}

// serveRaw answers each small request on loopback with a fixed answer and allocates nothing for it.
func serveRaw(b *testing.B) string {
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
				in, out := make([]byte, 4096), []byte(ok)
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

// BenchmarkDo measures a small request over loopback.
func BenchmarkDo(b *testing.B) {
	client := backend.New(netip.MustParseAddrPort(serveRaw(b)), 3, &net.Dialer{})
	defer client.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	body := bytes.NewReader(nil)
	b.ReportAllocs()
	for b.Loop() {
		body.Reset([]byte("body"))
		r, err := client.Do(ctx, &backend.Request{Method: "POST", Key: "a", Body: body, Length: 4, Fence: 7, Shard: 3})
		must.NoError(b, err)
		_, err = io.Copy(io.Discard, r.Body)
		must.NoError(b, err)
		r.Body.Close()
	}
}

// BenchmarkTransport measures the same request with net/http, for comparison.
func BenchmarkTransport(b *testing.B) {
	address := serveRaw(b)
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
