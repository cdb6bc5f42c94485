package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/rpc"
)

// shardsPerUpstream is the number of shards of one upstream if 65,536 shards are divided among
// 2,100 upstreams.
const shardsPerUpstream = 31

var (
	testPair   = control.Pair{Service: "placement-registry", DataCentre: "fukuoka-a"}
	testMember = control.Member{
		Name: "fukuoka-a-entry-117", Incarnation: 1796361268000000000, DataCentre: "fukuoka-a",
		Address: netip.MustParseAddrPort("10.20.30.40:7002"),
	}
)

// shardsOf returns the shards of the upstream with the given index.
func shardsOf(upstream int) []shard.Shard {
	assigned := make([]shard.Shard, shardsPerUpstream)
	for i := range assigned {
		assigned[i] = shard.Shard(upstream + i*2100)
	}
	return assigned
}

func newRenewRequest(upstreams int, withLoads bool) control.RenewRequest {
	r := control.RenewRequest{Pair: testPair, Member: testMember, Sequence: 1 << 20, AcceptedVersion: control.Version{Term: 7, Sequence: 1 << 20}}
	for i := range upstreams {
		report := control.UpstreamReport{Upstream: fmt.Sprintf("fukuoka-a-child-%d", i), Fence: fence.New(7, 300), Revision: 4}
		for _, s := range shardsOf(i) {
			if withLoads {
				report.Load = append(report.Load, control.ShardLoad{Shard: s, Load: float64(s) / 7})
			}
		}
		r.Reports = append(r.Reports, report)
	}
	return r
}

func newRenewResponse(upstreams int, same bool) control.RenewResponse {
	p := control.RenewResponse{Pair: testPair, Accepted: true, Term: 7, Sequence: 1 << 20, Controller: testMember, Remaining: control.LeaseTTL}
	for i := range upstreams {
		l := control.Lease{Upstream: fmt.Sprintf("fukuoka-a-child-%d", i), Fence: fence.New(7, 300), Revision: 4, Same: same}
		if !same {
			l.Shards = shardsOf(i)
		}
		p.Leases = append(p.Leases, l)
	}
	return p
}

func newTable(upstreams int) *control.Table {
	t := &control.Table{Pair: testPair, Term: 7, Sequence: 9}
	for i := range upstreams {
		t.Placements = append(t.Placements, control.Placement{
			Upstream: fmt.Sprintf("fukuoka-a-child-%d", i), Leaseholder: testMember, Fence: fence.New(7, 300), Revision: 4, Shards: shardsOf(i),
		})
	}
	return t
}

func newSupportRequest(t *control.Table) control.SupportRequest {
	return control.SupportRequest{Pair: testPair, Term: 7, Record: 1 << 20, Candidate: testMember, Version: control.Version{Term: 7, Sequence: 9}, Table: t}
}

// benchmarkCodec measures the time to encode and decode a message, and reports its encoded size.
func benchmarkCodec[In, Wire any](b *testing.B, name string, in In, encode func(In) *Wire, decode func(*Wire) In) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			data, err := rpc.Encoding{}.Marshal(encode(in))
			must.NoError(b, err)
			var out Wire
			must.NoError(b, rpc.Encoding{}.Unmarshal(data, &out))
			decode(&out)
			size = len(data)
		}
		b.ReportMetric(float64(size), "B")
	})
}

// BenchmarkMessages measures the size of control messages and the time to encode and decode them.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{0, 1, 10, 30} {
		benchmarkCodec(b, fmt.Sprintf("renew request, %d upstreams", n), newRenewRequest(n, false), encodeRenewRequest, decodeRenewRequest)
		benchmarkCodec(b, fmt.Sprintf("renew request with loads, %d upstreams", n), newRenewRequest(n, true), encodeRenewRequest, decodeRenewRequest)
		benchmarkCodec(b, fmt.Sprintf("renew response, %d upstreams", n), newRenewResponse(n, true), encodeRenewResponse, decodeRenewResponse)
		benchmarkCodec(b, fmt.Sprintf("first renew response, %d upstreams", n), newRenewResponse(n, false), encodeRenewResponse, decodeRenewResponse)
	}
	benchmarkCodec(b, "support request", newSupportRequest(nil), encodeSupportRequest, decodeSupportRequest)
	benchmarkCodec(b, "support response", fixedControlHandler{}.Support(time.Time{}, newSupportRequest(nil)), encodeSupportResponse, decodeSupportResponse)
	for _, n := range []int{30, 300, 420, 2100} {
		benchmarkCodec(b, fmt.Sprintf("support request with table, %d upstreams", n), newSupportRequest(newTable(n)), encodeSupportRequest, decodeSupportRequest)
	}
	benchmarkCodec(b, "sync, equal directories", control.Sync{Hash: 1 << 63}, encodeSync, decodeSync)
}

// fixedControlHandler answers control messages without any processing.
type fixedControlHandler struct{}

func (fixedControlHandler) Renew(time.Time, control.RenewRequest) control.RenewResponse {
	return newRenewResponse(1, true)
}

func (fixedControlHandler) Support(_ time.Time, q control.SupportRequest) control.SupportResponse {
	return control.SupportResponse{
		Pair: q.Pair, Accepted: true, Term: q.Term, Record: q.Record, Member: testMember, Version: q.Version,
	}
}

func (fixedControlHandler) Resign(time.Time, control.ResignRequest) {}

func (fixedControlHandler) Sync(_ time.Time, s control.Sync) control.Sync { return s }

// blockingHandler holds each request until release is closed.
type blockingHandler struct {
	entered sync.WaitGroup
	release chan struct{}
}

func (h *blockingHandler) Handle(context.Context, *exchange.Request) *exchange.Response {
	h.entered.Done()
	<-h.release
	return exchange.NotRunResponse(503, "closed")
}

func startServer(b *testing.B, h RequestHandler) netip.AddrPort {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewServer(h, fixedControlHandler{}, &log.Logger{Handler: discard.New()}).Serve(ctx, l)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCalls measures the CPU time of a control call on an open connection, for both ends together.
func BenchmarkCalls(b *testing.B) {
	to := startServer(b, &blockingHandler{})
	c := NewClient(&net.Dialer{})
	b.Cleanup(func() { _ = c.Close() })
	run := func(name string, call func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			start := cpuTime()
			for b.Loop() {
				must.NoError(b, call())
			}
			b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
	run("renew", func() error {
		_, err := c.Renew(b.Context(), to, newRenewRequest(1, false))
		return err
	})
	run("support", func() error {
		_, err := c.Support(b.Context(), to, newSupportRequest(nil))
		return err
	})
	run("sync", func() error {
		_, err := c.Sync(b.Context(), to, control.Sync{Hash: 1 << 63})
		return err
	})
}

// liveBytes returns the size of all live heap objects and of the goroutine stacks.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkConnections measures the memory of an idle connection, for both ends together.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{16, 64, idleConnections} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perConnection float64
			for b.Loop() {
				handler := &blockingHandler{release: make(chan struct{})}
				to := startServer(b, handler)
				before := liveBytes()
				c := NewClient(&net.Dialer{})
				handler.entered.Add(n)
				var calls sync.WaitGroup
				for range n {
					calls.Go(func() {
						r := c.Forward(b.Context(), to, &exchange.Request{Deadline: time.Now().Add(time.Minute)})
						_ = r.Body.Close()
					})
				}
				handler.entered.Wait()
				close(handler.release)
				calls.Wait()
				perConnection = (liveBytes() - before) / float64(n)
				must.NoError(b, c.Close())
			}
			b.ReportMetric(perConnection, "B/connection")
		})
	}
}
