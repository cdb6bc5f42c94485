package ticket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/ticket"
)

// BenchmarkMemory measures the heap bytes per operation of a redeemed ticket.
func BenchmarkMemory(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		for _, body := range []int{0, 256} {
			b.Run(fmt.Sprintf("records=%d/body=%d", records, body), func(b *testing.B) {
				var perRecord float64
				for b.Loop() {
					before := heapBytes()
					now := time.Now()
					t := ticket.New("seat-desk", fence.New(1, 1), ticket.Limits{Operations: records, Bytes: 1 << 30}, now)
					t.Add(1)
					for i := range records {
						issued, err := t.Issue(now, 1, fmt.Sprint(i))
						must.NoError(b, err)
						verdict, operation := t.Redeem(now, issued)
						must.Eq(b, ticket.Run, verdict)
						t.Finish(operation, ticket.Result{Outcome: outcome.Ran, Status: 200, Body: make([]byte, body)})
					}
					perRecord = (heapBytes() - before) / float64(records)
					runtime.KeepAlive(t)
				}
				b.ReportMetric(perRecord, "heap-B/record")
			})
		}
	}
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
