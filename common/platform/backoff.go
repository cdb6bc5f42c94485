package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff delays retries; its zero value is ready for the first.
type backoff struct {
	last time.Duration
}

// next pauses before a retry. The pause doubles each time up to maxBackoff, and half of it is
// random, so that clients do not retry at the same time.
func (b *backoff) next(ctx context.Context) error {
	b.last = min(max(minBackoff, 2*b.last), maxBackoff)
	select {
	case <-time.After(b.last/2 + rand.N(b.last/2)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("platform: wait: %w", ctx.Err())
	}
}
