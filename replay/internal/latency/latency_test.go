package latency_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/latency"
)

func callTaking(d time.Duration) latency.Call {
	return func(context.Context, int) error {
		time.Sleep(d)
		return nil
	}
}

// Guards against mixing up direct calls and calls through an entry VM, and against
// counting the calls of only one worker.
func TestMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := latency.New(callTaking(time.Millisecond), callTaking(3*time.Millisecond)).Measure(t.Context(), 4, time.Second)
		must.NoError(t, err)
		median, p99 := c.Added()
		must.InDelta(t, 2.0, median.Seconds()*1000, 0.01)
		must.InDelta(t, 2.0, p99.Seconds()*1000, 0.01)
		must.Eq(t, 4*2*250, c.Direct.Calls)
	})
}

// Guards against failed calls that count as fast calls.
func TestMeasureFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		comparer := latency.New(callTaking(time.Millisecond), func(context.Context, int) error { return refused })
		_, err := comparer.Measure(t.Context(), 2, time.Second)
		must.ErrorIs(t, err, refused)
	})
}
