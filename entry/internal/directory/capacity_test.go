package directory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

var centres = []string{"tvm", "klm", "alp", "fka", "ktq"}

// deploymentSize is the size of a deployment with one service and one entry VM for each upstream.
type deploymentSize struct{ members, shards int }

func (s deploymentSize) member(i int) control.Member {
	return control.Member{
		Name: fmt.Sprintf("%s-entry-%d", centres[i%5], i), DataCentre: centres[i%5], Incarnation: start.UnixNano(),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7002),
	}
}

// service returns the service object. The number of slots depends on the version, so that consecutive versions differ.
func (s deploymentSize) service(version int64) control.Object {
	c := configuration.Service{Name: "seat-desk", Shards: uint32(s.shards)}
	for i := range s.members {
		c.Upstreams = append(c.Upstreams, configuration.Upstream{
			Name: fmt.Sprintf("%s-seat-%d", centres[i%5], i), DataCentre: centres[i%5], Slots: 4 + int(version%2), Connections: 110, Fenced: true,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	c.Homes = configuration.DefaultHomes(c.Shards, c.Upstreams)
	value, err := configuration.EncodeService(c)
	if err != nil {
		panic(err)
	}
	return control.Object{Name: "services/seat-desk", Version: version, Value: value}
}

// tables returns the routing table of each data centre.
func (s deploymentSize) tables(sequence uint64) []control.Table {
	list := make([]control.Table, len(centres))
	shardsPerUpstream := s.shards / s.members
	next := shard.Shard(0)
	for i, centre := range centres {
		t := control.Table{Pair: control.Pair{Service: "seat-desk", DataCentre: centre}, Term: 1, Sequence: sequence}
		for j := i; j < s.members; j += 5 {
			p := control.Placement{
				Upstream: fmt.Sprintf("%s-seat-%d", centre, j), Leaseholder: s.member(j), Fence: fence.New(1, uint32(j+1)), Revision: 1,
			}
			for range shardsPerUpstream {
				p.Shards = append(p.Shards, next)
				next++
			}
			t.Placements = append(t.Placements, p)
		}
		list[i] = t
	}
	return list
}

// directory returns the directory of a member that knows the service, all tables and all members.
func (s deploymentSize) directory(self int) *directory.Directory {
	d := directory.New(start, s.member(self), nil, rand.New(rand.NewPCG(uint64(self), 1)))
	message := control.Sync{Objects: []control.Object{s.service(1)}, Tables: s.tables(1)}
	for i := range s.members {
		if i != self {
			message.Members = append(message.Members, control.Announcement{Member: s.member(i), SequenceNumber: 1})
		}
	}
	d.Merge(start, message)
	return d
}

// deploymentSizes ranges from the present deployments to the target size.
var deploymentSizes = []deploymentSize{{10, 1024}, {100, 1024}, {100, 65536}, {420, 16384}, {2100, 65536}}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measure runs a step in the benchmark loop and reports its CPU time.
func measure(b *testing.B, step func()) {
	b.ReportAllocs()
	startTime := cpuTime()
	for b.Loop() {
		step()
	}
	b.ReportMetric(float64(cpuTime()-startTime)/float64(b.N), "cpu-ns/op")
}

// BenchmarkCapacity measures the memory of a directory, an exchange between equal
// directories with the choice of the partner, and storing a changed table, service or member.
func BenchmarkCapacity(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(fmt.Sprintf("members=%d/shards=%d", s.members, s.shards), func(b *testing.B) {
			before := heapBytes()
			d := s.directory(0)
			directoryBytes := heapBytes() - before
			other := s.directory(1)
			now := start.Add(time.Minute)
			b.Run("exchange", func(b *testing.B) {
				measure(b, func() {
					now = now.Add(directory.ExchangeInterval)
					partner, _ := d.PickPartner(true)
					_, more := d.Merge(now, other.Offer(now, d.Digest(now)))
					must.False(b, more)
					d.ExchangeSucceeded(now, partner)
				})
				b.ReportMetric(directoryBytes, "heap-B")
			})
			versions := int64(1)
			b.Run("table", func(b *testing.B) {
				message, err := cbor.Marshal(toLists(reflect.ValueOf(s.tables(1)[0])))
				must.NoError(b, err)
				list := s.tables(0)
				measure(b, func() {
					versions++
					t := list[0]
					t.Sequence = uint64(versions)
					must.True(b, d.PutTable(now, t))
				})
				b.ReportMetric(float64(len(message)), "message-B")
			})
			b.Run("service", func(b *testing.B) {
				o := s.service(1)
				measure(b, func() {
					versions++
					o.Version = versions
					must.True(b, d.PutObject(now, o))
				})
				b.ReportMetric(float64(len(o.Value)), "message-B")
			})
			b.Run("member", func(b *testing.B) {
				a := control.Announcement{Member: s.member(2)}
				measure(b, func() {
					versions++
					a.SequenceNumber = uint32(versions)
					d.Merge(now, control.Sync{Members: []control.Announcement{a}})
				})
			})
		})
	}
}

// BenchmarkChange measures the bytes that one configuration change costs each member,
// sent and received together, by the number of upstreams of the changed service.
func BenchmarkChange(b *testing.B) {
	const seconds = 6
	for _, size := range []int{100, 420} {
		for _, upstreams := range []int{30, 300, 2100} {
			b.Run(fmt.Sprintf("members=%d/upstreams=%d", size, upstreams), func(b *testing.B) {
				var quietBytes, changedBytes float64
				for b.Loop() {
					f := newFleet(3, size, 5, true)
					f.run(6 * time.Second)
					bytes := 0
					f.onMessage = func(_, _ *node, message control.Sync) {
						data, err := cbor.Marshal(toLists(reflect.ValueOf(message)))
						must.NoError(b, err)
						bytes += len(data)
					}
					f.run(seconds * time.Second)
					quietBytes = float64(2*bytes) / float64(size)
					bytes = 0
					f.write(deploymentSize{upstreams, 65536}.service(1))
					f.run(seconds * time.Second)
					changedBytes = float64(2*bytes) / float64(size)
				}
				b.ReportMetric(quietBytes/seconds, "quiet-B/s")
				b.ReportMetric(changedBytes-quietBytes, "B/change")
			})
		}
	}
}
