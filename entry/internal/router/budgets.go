package router

import (
	"sync"
	"time"
)

const (
	// retryShare is the retries earned by a request: 10%.
	retryShare = 0.1
	// retryRate is the retries a second that are allowed without any traffic.
	retryRate = 10
	// retryBurst is the largest number of saved retries.
	retryBurst = 100
)

// RetryBudgets holds a token bucket of retries per service, so that retries never
// multiply the load of a service that is failing.
type RetryBudgets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

// NewRetryBudgets returns budgets that start full.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{buckets: make(map[string]*bucket)}
}

// Earn implements Budgets.
func (b *RetryBudgets) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.fill(now, service)
	c.tokens = min(retryBurst, c.tokens+retryShare)
}

// Spend implements Budgets.
func (b *RetryBudgets) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.fill(now, service)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// fill adds the tokens earned by time. The mutex is held.
func (b *RetryBudgets) fill(now time.Time, service string) *bucket {
	c, ok := b.buckets[service]
	if !ok {
		c = &bucket{tokens: retryBurst, filled: now}
		b.buckets[service] = c
		return c
	}
	c.tokens = min(retryBurst, c.tokens+retryRate*now.Sub(c.filled).Seconds())
	c.filled = now
	return c
}
