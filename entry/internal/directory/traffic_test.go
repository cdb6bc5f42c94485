package directory_test

import (
	"encoding"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// messageOverhead is the assumed size in bytes of the headers of TCP, IP and drpc around a message.
const messageOverhead = 100

// toLists turns a message into nested lists, which CBOR encodes without field names.
func toLists(v reflect.Value) any {
	switch x := v.Interface().(type) {
	case time.Time:
		return x.UnixMilli()
	case encoding.BinaryMarshaler:
		b, _ := x.MarshalBinary()
		return b
	case []byte:
		return x
	}
	var list []any
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, toLists(v.Field(i)))
		}
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, toLists(v.Index(i)))
		}
	default:
		return v.Interface()
	}
	return list
}

// largeTable returns a table of 1,024 shards at 420 upstreams, which is the part of one of five data centres that have
// 2,100 upstreams together.
func largeTable(sequence int) control.Table {
	t := control.Table{Pair: control.Pair{Service: "seat-desk", DataCentre: "tvm"}, Term: 1, Sequence: uint64(sequence)}
	for i := range 420 {
		t.Placements = append(t.Placements, control.Placement{
			Upstream: fmt.Sprintf("seat-%d", i), Leaseholder: member(fmt.Sprintf("tvm-%d", i), start.UnixNano()), Fence: fence.New(1, uint32(i)),
		})
	}
	for n := range shard.Shard(1024) {
		p := &t.Placements[n%420]
		p.Shards = append(p.Shards, n)
	}
	return t
}

// Measures the bytes per second that one member sends and receives in exchanges, by the
// number of members, without changes and with one change per second.
func BenchmarkTraffic(b *testing.B) {
	const seconds = 10
	changes := map[string]func(*fleet, int){
		"steady":  func(*fleet, int) {},
		"leaving": func(f *fleet, i int) { f.write(leavingObject(fmt.Sprintf("vm-%d", i), 0)) },
		"service": func(f *fleet, _ int) { f.write(serviceObject(0, 30)) },
		"large":   func(f *fleet, _ int) { f.write(serviceObject(0, 2100)) },
		"table":   func(f *fleet, i int) { f.nodes[0].directory.PutTable(f.now, largeTable(i)) },
	}
	for _, size := range []int{10, 100, 420, 2100} {
		for _, name := range []string{"steady", "leaving", "service", "large", "table"} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				var bytes, messages int
				for range b.N {
					f := newFleet(3, size, 5, true)
					f.run(6 * time.Second)
					f.onMessage = func(_, _ *node, message control.Sync) {
						data, err := cbor.Marshal(toLists(reflect.ValueOf(message)))
						if err != nil {
							b.Fatal(err)
						}
						bytes += len(data)
						messages++
					}
					for i := range seconds {
						changes[name](f, i)
						f.run(time.Second)
					}
				}
				// Each message is sent by one member and received by another.
				perMember := 2 / float64(size*seconds*b.N)
				b.ReportMetric(float64(bytes)*perMember, "B/s")
				b.ReportMetric(float64(bytes+messageOverhead*messages)*perMember, "B/s-with-headers")
			})
		}
	}
}

// Measures the time until a change is in force in a whole data centre.
func BenchmarkSpreadTime(b *testing.B) {
	for _, size := range []int{10, 420} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				connected, afterPartition := spreadTime(b, size)
				b.ReportMetric(connected.Seconds(), "s")
				b.ReportMetric(afterPartition.Seconds(), "s-after-partition")
			}
		})
	}
}
