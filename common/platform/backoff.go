package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// backoff spaces repeated calls; its zero value is ready for the first.
type backoff struct {
	last time.Duration
}

// next waits, each time twice as long with a random part against calls in step.
func (b *backoff) next(ctx context.Context) error {
	b.last = min(max(firstBackoff, 2*b.last), longestBackoff)
	select {
	case <-time.After(b.last/2 + rand.N(b.last/2)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("platform: wait: %w", ctx.Err())
	}
}
