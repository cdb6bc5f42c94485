package process_test

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
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/caller"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/peer"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/router"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/upstream"
)

// startFixedServer starts a loopback server that answers every request with a fixed
// response and as little work as possible, and returns its address.
func startFixedServer(b *testing.B) netip.AddrPort {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveFixedResponse(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// serveFixedResponse answers the requests on one connection.
func serveFixedResponse(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		// The benchmark's requests have no body, so an empty line ends a request.
		if len(line) > 2 {
			continue
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nBramley-Outcome: ran\r\n\r\nok"); err != nil {
			return
		}
	}
}

// fixedLease implements upstream.Lease with a lease of all shards that never ends.
type fixedLease struct{}

func (fixedLease) FenceFor(time.Time, string, shard.Shard) (fence.Fence, bool) {
	return fence.New(1, 1), true
}

func (fixedLease) Deadline() time.Time { return time.Now().Add(time.Second) }

// ignoringMonitor implements upstream.Monitor and ignores all events.
type ignoringMonitor struct{}

func (ignoringMonitor) RequestSent(time.Time, time.Time) uint64 { return 0 }
func (ignoringMonitor) ResponseStarted(time.Time, uint64)       {}
func (ignoringMonitor) ConnectionBroken(time.Time, uint64)      {}
func (ignoringMonitor) ConnectionRefused(time.Time, uint64)     {}
func (ignoringMonitor) ResponseFinished(uint64)                 {}

// fixedRoutes implements router.Routes and caller.ServiceConfig with one leaseholder for all shards.
type fixedRoutes struct{ leaseholder control.Member }

func (f fixedRoutes) Find(string, shard.Shard) (control.Placement, bool, <-chan struct{}) {
	return control.Placement{Upstream: "u", Leaseholder: f.leaseholder}, true, nil
}

func (fixedRoutes) Shards(string) (uint32, bool) { return 1024, true }

func (fixedRoutes) Timeout(rank.Rank) time.Duration { return time.Minute }

// fixedControlHandler implements peer.ControlHandler with empty responses.
type fixedControlHandler struct{}

func (fixedControlHandler) Renew(time.Time, control.RenewRequest) control.RenewResponse {
	return control.RenewResponse{}
}

func (fixedControlHandler) Support(time.Time, control.SupportRequest) control.SupportResponse {
	return control.SupportResponse{}
}
func (fixedControlHandler) Resign(time.Time, control.ResignRequest)          {}
func (fixedControlHandler) Sync(time.Time, control.Sync) (none control.Sync) { return none }

// newEntryHandler returns the HTTP handler of an entry process that either is the
// leaseholder of all shards or forwards every request to another process.
func newEntryHandler(b *testing.B, forwarding bool) http.Handler {
	b.Helper()
	logger := &log.Logger{Handler: discard.New()}
	spec := configuration.Upstream{Name: "u", Slots: 64, Connections: 130, Fenced: true}
	client := backend.New(startFixedServer(b), spec.Connections, &net.Dialer{})
	b.Cleanup(client.Close)
	u := upstream.New("s", spec, fixedLease{}, client, suspect.New(1000), ignoringMonitor{})
	u.ApplyPreset(configuration.DefaultPresets().Items[0])
	var allShards []shard.Shard
	for s := range shard.Shard(1024) {
		allShards = append(allShards, s)
	}
	must.NoError(b, u.TakeOverLease(time.Now(), fence.New(1, 1), allShards, nil))
	self, leaseholder := control.Member{Name: "e1"}, control.Member{Name: "e1"}
	peers := peer.NewClient(&net.Dialer{})
	b.Cleanup(func() { _ = peers.Close() })
	if forwarding {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go func() { _ = peer.NewServer(u, fixedControlHandler{}, logger).Serve(ctx, l) }()
		leaseholder = control.Member{Name: "e2", Address: netip.MustParseAddrPort(l.Addr().String())}
	}
	routes := fixedRoutes{leaseholder}
	r := router.New(self, routes, u, peers, retry.New(retry.Default))
	return caller.New(r, routes, 1<<20, caller.NewResponseCounters(new(expvar.Map).Init()), logger).Filter(http.NotFoundHandler())
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// unbufferedRecorder implements io.ReaderFrom, as the response writer of an HTTP server
// does, so that io.Copy allocates no buffer.
type unbufferedRecorder struct{ *httptest.ResponseRecorder }

func (r unbufferedRecorder) ReadFrom(in io.Reader) (int64, error) { return r.Body.ReadFrom(in) }

// BenchmarkPath measures a lookup end to end, from the HTTP handler for clients to the
// backend server and back, with one client and with at least 16 concurrent clients.
func BenchmarkPath(b *testing.B) {
	for _, forward := range []bool{false, true} {
		h := newEntryHandler(b, forward)
		serve := func(i int) {
			w := unbufferedRecorder{httptest.NewRecorder()}
			h.ServeHTTP(w, newLookup(b, i))
			if w.Code != http.StatusOK {
				panic(w.Body.String())
			}
		}
		run := func(name string, body func(b *testing.B)) {
			b.Run(fmt.Sprintf("forward=%v/%s", forward, name), func(b *testing.B) {
				b.ReportAllocs()
				start := cpuTime()
				body(b)
				b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
			})
		}
		run("callers=1", func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				serve(i)
			}
		})
		run("callers=16", func(b *testing.B) {
			b.SetParallelism((16 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					serve(i)
				}
			})
		})
	}
}

// BenchmarkConnections measures the memory of one idle connection: from a client to the
// HTTP server, and to a backend server. The latter includes the 4 KiB read buffer of the
// server's end.
func BenchmarkConnections(b *testing.B) {
	const connections = 100
	report := func(name string, open func(b *testing.B)) {
		b.Run(name, func(b *testing.B) {
			var perConnection float64
			for b.Loop() {
				before := liveBytes()
				open(b)
				perConnection = (liveBytes() - before) / connections
			}
			b.ReportMetric(perConnection, "B/connection")
		})
	}
	report("caller", func(b *testing.B) {
		s := httptest.NewServer(http.NotFoundHandler())
		b.Cleanup(s.Close)
		for range connections {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			must.NoError(b, err)
			b.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			must.NoError(b, err)
			_, err = conn.Read(make([]byte, 1))
			must.NoError(b, err)
		}
	})
	report("backend", func(b *testing.B) {
		c := backend.New(startFixedServer(b), connections+2, &net.Dialer{})
		b.Cleanup(c.Close)
		open := make([]*backend.Response, connections)
		for i := range open {
			r, err := c.Do(b.Context(), &backend.Request{Method: http.MethodGet, Key: "k"})
			must.NoError(b, err)
			open[i] = r
		}
		for _, r := range open {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		must.EqOp(b, connections, c.Counts().Idle)
	})
}

// liveBytes returns the size of the heap and the stacks after garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// newLookup returns a lookup request as the HTTP server passes it to its handler.
func newLookup(b *testing.B, i int) *http.Request {
	r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, fmt.Sprintf("/v1/keys/s/trolley-%d", i%1000), http.NoBody)
	if err != nil {
		panic(err)
	}
	return r
}

// BenchmarkRequest measures the cost of the request and the recorder alone, which the
// results of BenchmarkPath include.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = unbufferedRecorder{httptest.NewRecorder()}
		_ = newLookup(b, i)
	}
}
