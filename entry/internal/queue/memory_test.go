package queue_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
	"bramleystand.org/entry/internal/queue"
)

// BenchmarkMemory measures the bytes of heap and stack that one waiting request uses.
func BenchmarkMemory(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			var perRequest float64
			for b.Loop() {
				before := liveBytes()
				q := queue.New(1, time.Now)
				slot, err := q.Acquire(b.Context(), queue.Request{Rank: rank.Lookup, Deadline: time.Now().Add(time.Hour)})
				must.NoError(b, err)
				ctx, cancel := context.WithCancel(b.Context())
				var group sync.WaitGroup
				for range waiting {
					group.Go(func() {
						_, _ = q.Acquire(ctx, queue.Request{Rank: rank.Lookup, Deadline: time.Now().Add(time.Hour)})
					})
				}
				for q.State().Ranks[rank.Lookup].Waiting < waiting {
					runtime.Gosched()
				}
				perRequest = (liveBytes() - before) / float64(waiting)
				cancel()
				group.Wait()
				slot.Release(0)
			}
			b.ReportMetric(perRequest, "B/request")
		})
	}
}

// liveBytes returns the bytes of all live objects and stacks.
func liveBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
