package fault_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/fault"
)

// Guards against a freeze that ends early, that can't be shortened, or that holds a
// request after its context has ended.
func TestWaitUnfrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := fault.New()
		start := time.Now()
		i.Update(func(f *fault.State) { f.FrozenUntil = start.Add(time.Second) })
		must.NoError(t, i.WaitUnfrozen(t.Context()))
		must.Eq(t, time.Second, time.Since(start))

		i.Update(func(f *fault.State) { f.FrozenUntil = start.Add(time.Hour) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, i.WaitUnfrozen(ctx), context.DeadlineExceeded)

		unfrozen := make(chan error)
		go func() { unfrozen <- i.WaitUnfrozen(t.Context()) }()
		synctest.Wait()
		i.Update(func(f *fault.State) { f.FrozenUntil = time.Time{} })
		must.NoError(t, <-unfrozen)
		must.Eq(t, 2*time.Second, time.Since(start))
	})
}

// Guards against more or fewer truncated responses than the count in the state.
func TestTakeTruncation(t *testing.T) {
	i := fault.New()
	i.Update(func(f *fault.State) { f.TruncateCount = 1 })
	must.True(t, i.TakeTruncation())
	must.False(t, i.TakeTruncation())
	i.Update(func(f *fault.State) { f.TruncateCount = -1 })
	must.True(t, i.TakeTruncation())
	must.True(t, i.TakeTruncation())
}
