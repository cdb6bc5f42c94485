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

func taking(d time.Duration) latency.Call {
	return func(context.Context, int) error {
		time.Sleep(d)
		return nil
	}
}

// Guards against direct and indirect calls that are mixed up or counted for one worker only.
func TestMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := latency.New(taking(time.Millisecond), taking(3*time.Millisecond)).Measure(t.Context(), 4, time.Second)
		must.NoError(t, err)
		median, p99 := c.Added()
		must.InDelta(t, 2.0, median.Seconds()*1000, 0.01)
		must.InDelta(t, 2.0, p99.Seconds()*1000, 0.01)
		must.Eq(t, 4*2*250, c.Direct.Calls)
	})
}

// Guards against failed calls that count as fast ones.
func TestMeasureFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		l := latency.New(taking(time.Millisecond), func(context.Context, int) error { return refused })
		_, err := l.Measure(t.Context(), 2, time.Second)
		must.ErrorIs(t, err, refused)
	})
}
