package replayer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/replayer"
	"bramleystand.org/replay/internal/trace"
)

// Guards against arrivals that wait for earlier responses, which would hide the queueing
// delay of a slow system.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		tr := &trace.Trace{Requests: []trace.Request{{}, {Arrival: time.Second}, {Arrival: 2 * time.Second}}}
		var mu sync.Mutex
		var started, elapsed []time.Duration
		p := replayer.New(func(_ context.Context, o operation.Operation) operation.Result {
			mu.Lock()
			started = append(started, time.Since(start))
			mu.Unlock()
			time.Sleep(10 * time.Second)
			return operation.Result{Operation: o, Ended: time.Now()}
		}, func(r operation.Result) {
			mu.Lock()
			defer mu.Unlock()
			elapsed = append(elapsed, r.Elapsed())
		})
		must.NoError(t, p.Run(t.Context(), tr, "run"))
		must.Eq(t, []time.Duration{0, time.Second, 2 * time.Second}, started)
		must.Eq(t, []time.Duration{10 * time.Second, 10 * time.Second, 10 * time.Second}, elapsed)
	})
}
