package fault_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/fault"
)

// Guards against a freeze that ends early, that cannot be shortened, or that outlives its request.
func TestThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fault.New()
		start := time.Now()
		s.Change(func(f *fault.State) { f.FrozenUntil = start.Add(time.Second) })
		must.NoError(t, s.Thaw(t.Context()))
		must.Eq(t, time.Second, time.Since(start))

		s.Change(func(f *fault.State) { f.FrozenUntil = start.Add(time.Hour) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, s.Thaw(ctx), context.DeadlineExceeded)

		thawed := make(chan error)
		go func() { thawed <- s.Thaw(t.Context()) }()
		synctest.Wait()
		s.Change(func(f *fault.State) { f.FrozenUntil = time.Time{} })
		must.NoError(t, <-thawed)
		must.Eq(t, 2*time.Second, time.Since(start))
	})
}

// Guards against more or fewer truncated answers than asked for.
func TestTruncated(t *testing.T) {
	s := fault.New()
	s.Change(func(f *fault.State) { f.Truncate = 1 })
	must.True(t, s.Truncated())
	must.False(t, s.Truncated())
	s.Change(func(f *fault.State) { f.Truncate = -1 })
	must.True(t, s.Truncated())
	must.True(t, s.Truncated())
}
