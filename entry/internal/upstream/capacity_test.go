package upstream_test

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/upstream"
)

// BenchmarkMemory measures the heap bytes of an idle upstream with its queue and the client
// of its server, without a lease and with a lease of 31 shards.
func BenchmarkMemory(b *testing.B) {
	const upstreams = 420
	for _, leased := range []bool{false, true} {
		b.Run(fmt.Sprintf("leased=%v", leased), func(b *testing.B) {
			var perUpstream float64
			for b.Loop() {
				before := heapBytes()
				list := make([]*upstream.Upstream, upstreams)
				clients := make([]*backend.Client, upstreams)
				suspects := suspect.New(10)
				for i := range list {
					spec := configuration.Upstream{Name: "u", Slots: 6, Connections: 120, Fenced: true}
					clients[i] = backend.New(netip.MustParseAddrPort("127.0.0.1:1"), spec.Connections, &net.Dialer{})
					list[i] = upstream.New("s", spec, &fakeLease{held: true}, clients[i], suspects, noMonitor{})
					list[i].ApplyPreset(configuration.DefaultPresets().Items[0])
					if leased {
						must.NoError(b, list[i].TakeOverLease(time.Now(), fence.New(1, 1), upstreamShards(), nil))
					}
				}
				perUpstream = (heapBytes() - before) / upstreams
				runtime.KeepAlive(list)
				for _, c := range clients {
					c.Close()
				}
			}
			b.ReportMetric(perUpstream, "heap-B/upstream")
		})
	}
}

// upstreamShards returns the shards of one upstream when 65,536 shards are divided among 2,100 upstreams.
func upstreamShards() []shard.Shard {
	list := make([]shard.Shard, 31)
	for i := range list {
		list[i] = shard.Shard(i)
	}
	return list
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
