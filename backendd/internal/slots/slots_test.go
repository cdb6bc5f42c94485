package slots_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/slots"
)

// Guards against a queue that grows without bound and against a slot that is lost
// because a cancelled waiter took it.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slots.New(1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		must.NoError(t, s.Acquire(ctx))
		waiter := make(chan error)
		go func() { waiter <- s.Acquire(ctx) }()
		synctest.Wait()
		must.Eq(t, 1, s.Waiting())
		must.ErrorIs(t, s.Acquire(ctx), slots.ErrFull)
		cancel()
		must.ErrorIs(t, <-waiter, context.Canceled)
		s.Release()
		must.NoError(t, s.Acquire(t.Context()))
		must.Eq(t, 1, s.Used())
	})
}
