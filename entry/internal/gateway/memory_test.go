package gateway_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/view"
)

// originFields adds the fields of requests to servers to testHeaderFields.
type originFields struct{ testHeaderFields }

func (originFields) IsSetByProxy(string) bool                                         { return false }
func (originFields) AddRequestFields(func(name, value string), time.Duration, string) {}
func (originFields) NotRun(int, http.Header) bool                                     { return false }

func (originFields) RequestLimit(http.Header) (float64, bool, error) { return 0, false, nil }

func (originFields) ServerLoad(http.Header) (*registry.Load, error) { return nil, nil }
func (originFields) IsLeaving(http.Header) (bool, error)            { return false, nil }
func (originFields) OtherServer(int, http.Header, string) string    { return "" }
func (originFields) RetryAfter(time.Time, http.Header) (time.Time, bool, error) {
	return time.Time{}, false, nil
}

func (originFields) HasProof(h http.Header) bool { return h.Get("Proof") != "" }

// noLimits has a slot for every request and tracks nothing.
type noLimits struct{}

func (noLimits) Acquire(_ context.Context, _ dispatch.SlotRequest) (dispatch.Slot, error) {
	return noLimits{}, nil
}
func (noLimits) ExpectedWait(dispatch.SlotRequest) time.Duration               { return 0 }
func (noLimits) Release(dispatch.Outcome)                                      {}
func (noLimits) AttemptEnded(dispatch.Observation)                             {}
func (noLimits) IsBlocked(time.Time, suspect.Fingerprint) bool                 { return false }
func (noLimits) RecordCrash(time.Time, suspect.Fingerprint, registry.Instance) {}
func (noLimits) RecordResponse(time.Time, suspect.Fingerprint)                 {}
func (noLimits) RequestSent(time.Time, registry.Server) func()                 { return func() {} }
func (noLimits) RecordReached(time.Time, registry.Server)                      {}
func (noLimits) RecordAnswer(time.Time, registry.Server)                       {}
func (noLimits) RecordUnreached(time.Time, registry.Server)                    {}
func (noLimits) RecordReset(time.Time, registry.Server)                        {}
func (noLimits) Unreached(time.Time, registry.Server) bool                     { return false }
func (noLimits) CutOffFrom(string) bool                                        { return false }
func (noLimits) Hanging(string) bool                                           { return false }
func (noLimits) Connected(string) context.Context                              { return context.Background() }
func (noLimits) Available(time.Time, registry.Server) bool                     { return false }
func (noLimits) Do(context.Context, *dispatch.Call, registry.Server, int) *dispatch.Result {
	return nil
}

func (noLimits) HoldOff(time.Time, registry.Instance, time.Time) {}
func (noLimits) HeldUntil(time.Time, registry.Instance) (time.Time, bool) {
	return time.Time{}, false
}
func (noLimits) ObserveLeaving(time.Time, registry.Instance)        {}
func (noLimits) ObserveEnded(time.Time, registry.Instance, string)  {}
func (noLimits) ObserveInvalid(time.Time, registry.Instance, error) {}

// startGateway serves a handler whose requests are sent to a server that answers each with serve.
func startGateway(t *testing.T, kind traffic.Kind, serve func(c net.Conn, id string)) *httptest.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					serve(c, r.Header.Get("Id"))
				}
			}()
		}
	}()
	route := newRoute(kind)
	route.Timeout = 20 * time.Second
	configuration, err := traffic.New(1, []traffic.Route{route}, map[string]traffic.Service{"a": {Name: "a"}},
		traffic.Limits{HeaderBytes: 2000, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	must.NoError(t, err)
	v := view.New()
	v.SetConfiguration(configuration)
	var servers []registry.Server
	for i := range 4 {
		servers = append(servers, registry.Server{
			Instance: registry.Instance{ID: fmt.Sprint(i), Incarnation: 1}, Service: "a", Slots: 100, DataCentre: "x",
			Address: netip.MustParseAddrPort(l.Addr().String()),
		})
	}
	v.SetServers(time.Now(), servers)
	d := dispatch.New(v, noLimits{}, retry.New(retry.Limit{Burst: 100, Initial: 100}), &net.Dialer{}, originFields{}, "x", noLimits{}, noLimits{}, noLimits{}, noLimits{}, noLimits{})
	h := gateway.New(v, d, testHeaderFields{}, &fakeDispatcher{}, gateway.NewCounters(new(expvar.Map)), testBounds(t), &log.Logger{Handler: discard.New()})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

// Guards against response bodies that together exhaust the memory, and against small responses that fail
// meanwhile: 60 servers send 2 MiB each and then nothing more.
func TestMemoryForResponses(t *testing.T) {
	const requests, sentBytes, limit, slack = 60, 2 << 20, 32 << 20, 16 << 20
	const maxWait = 30 * time.Second
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("a", 64<<10))
	settled, release := make(chan string, 2*requests), make(chan struct{})
	s := startGateway(t, traffic.NonIdempotent, func(c net.Conn, id string) {
		if id == "small" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\nContent-Length: 1\r\n\r\na", id)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for range sentBytes / (64 << 10) {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
		settled <- id
		<-release
	})
	t.Cleanup(func() { close(release) })
	before := heapInUse()
	statuses := make(chan string, requests)
	deadline := time.Now().Add(maxWait)
	for i := range requests {
		go func() {
			defer func() { settled <- fmt.Sprint(i) }()
			for _, r := range sendRawUntil(t, s, getRequest("/p/x", fmt.Sprintf("Id: %d\r\n", i)), deadline) {
				statuses <- r.Status
			}
		}()
	}
	seen := make(map[string]bool)
	for len(seen) < requests {
		seen[<-settled] = true
	}
	used := heapInUse() - before
	must.LessEq(t, limit+slack, used)
	must.Positive(t, len(statuses), must.Sprint("some requests must have failed"))
	for range len(statuses) {
		must.Eq(t, "502 Bad Gateway", <-statuses)
	}
	small := sendRaw(t, s, getRequest("/p/x", "Id: small\r\n"))
	must.Len(t, 1, small)
	must.Eq(t, 200, small[0].StatusCode)
}

// Guards against response heads that together exhaust the memory: of a short header line, ten times its bytes are
// held. Servers send heads without end, each just below the limit of one head before it pauses.
func TestMemoryForHeads(t *testing.T) {
	const requests, limit, slack = 90, 32 << 20, 16 << 20
	var lines strings.Builder
	for i := 0; lines.Len() < 63<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	settled, release := make(chan struct{}, 2*requests), make(chan struct{})
	s := startGateway(t, traffic.NonIdempotent, func(c net.Conn, id string) {
		if id == "small" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\nContent-Length: 1\r\n\r\na", id)
			return
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\n%s", id, lines.String())
		if err == nil {
			// The gateway has read the lines or closed the connection once the server waits for its next byte.
			<-time.After(500 * time.Millisecond)
		}
		settled <- struct{}{}
		<-release
	})
	t.Cleanup(func() { close(release) })
	before := heapInUse()
	deadline := time.Now().Add(30 * time.Second)
	for i := range requests {
		go sendRawUntil(t, s, getRequest("/p/x", fmt.Sprintf("Id: %d\r\n", i)), deadline)
	}
	for range requests {
		<-settled
	}
	must.LessEq(t, limit+slack, heapInUse()-before)
	small := sendRaw(t, s, getRequest("/p/x", "Id: small\r\n"))
	must.Len(t, 1, small)
	must.Eq(t, 200, small[0].StatusCode)
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory that stays reserved after a request, so that all later ones fail: in sequence,
// more large responses than the limit has room for.
func TestMemoryIsReleased(t *testing.T) {
	body := strings.Repeat("a", 16<<20)
	for _, kind := range []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent} {
		s := startGateway(t, kind, func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		})
		for i := range 4 {
			responses := sendRawUntil(t, s, getRequest("/p/x", fmt.Sprintf("Id: %d\r\n", i)), time.Now().Add(time.Minute))
			must.Len(t, 1, responses)
			must.Eq(t, 200, responses[0].StatusCode)
		}
	}
}
