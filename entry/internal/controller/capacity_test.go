package controller_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/lease"
)

// processCPUTime returns the CPU time that this process has used. Unlike elapsed time it depends little on other
// processes of the machine.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the bytes of all live objects.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkLeaseholders measures one renewal and the work that follows it at the
// controller, when n entry VMs renew every 200 ms and all upstreams carry load.
func BenchmarkLeaseholders(b *testing.B) {
	for _, upstreams := range []int{30, 300, 420, 2100} {
		for _, n := range []int{3, 42, 420} {
			b.Run(fmt.Sprintf("upstreams=%d/leaseholders=%d", upstreams, n), func(b *testing.B) {
				heapBefore := heapBytes()
				live := entryVMs(n)
				holders := make([]*lease.Holder, n)
				for i, m := range live {
					holders[i] = lease.New(pair, m)
				}
				load := map[string][]control.ShardLoad{}
				var q control.RenewRequest
				var p control.RenewResponse
				renew := func(c *controller.Controller, now time.Time, h *lease.Holder) {
					q = h.Renew(now)[0].Request
					p = c.HandleRenew(now, q)
					h.ApplyResponse(now, now, p)
					c.Tick(now)
					c.NextDue(now)
					answerStoreCalls(c, now)
				}
				c, now := newSharedController(b, upstreams, live, controller.EvenPlanner{}, func(c *controller.Controller, now time.Time) {
					for _, h := range holders {
						h.Follow(c.Succession())
						renew(c, now, h)
					}
				})
				for _, p := range c.Table().Placements {
					load[p.Upstream] = shardLoads(p)
				}
				next := 0
				step := func() {
					h := holders[next%n]
					// Loads are reported every 2 s, in one of ten renewals.
					if next/n%10 == 1 {
						for _, name := range h.Upstreams() {
							h.SetServerReport(now, name, control.Alive, load[name])
						}
					}
					next++
					now = now.Add(control.RenewInterval / time.Duration(n))
					renew(c, now, h)
				}
				for range 2 * n {
					step()
				}
				must.Eq(b, upstreams, countLeases(holders))
				heapUsed := heapBytes() - heapBefore
				cpuStart := processCPUTime()
				b.ResetTimer()
				for b.Loop() {
					step()
				}
				perRenewal := float64(processCPUTime()-cpuStart) / float64(b.N)
				b.ReportMetric(perRenewal, "cpu-ns/op")
				b.ReportMetric(perRenewal*float64(n)*float64(time.Second/control.RenewInterval)/1e7, "core-%")
				b.ReportMetric(encodedSize(q), "request-B")
				b.ReportMetric(encodedSize(p), "response-B")
				b.ReportMetric(heapUsed, "heap-B")
				runtime.KeepAlive(holders)
			})
		}
	}
}

func countLeases(holders []*lease.Holder) int {
	n := 0
	for _, h := range holders {
		n += len(h.Upstreams())
	}
	return n
}
