// Package retry bounds how often requests are sent again, so that retries never multiply
// the load of a service that is failing.
//
// # Usage
//
//	b := retry.New(retry.Limit{Share: 0.1, Rate: 10, Burst: 100, Start: 100})
//	b.Earn(time.Now(), service)
//	if b.Spend(time.Now(), service) {
//		// Send the request again.
//	}
package retry

import (
	"sync"
	"time"
)

// Budgets holds a token bucket of retries per service. It is safe for concurrent use.
type Budgets struct {
	limit Limit

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

// New returns budgets with one limit for each service.
func New(l Limit) *Budgets {
	return &Budgets{limit: l, buckets: make(map[string]*bucket)}
}

// SetLimit replaces the limit; what is saved beyond its burst is dropped.
func (b *Budgets) SetLimit(l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = l
	for _, c := range b.buckets {
		c.tokens = min(c.tokens, l.Burst)
	}
}

// Earn notes the first attempt of a request.
func (b *Budgets) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.fill(now, service)
	c.tokens = min(b.limit.Burst, c.tokens+b.limit.Share)
}

// Spend takes one retry; it reports false if none is left.
func (b *Budgets) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.fill(now, service)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// Left returns the retries that are saved, by service.
func (b *Budgets) Left(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.buckets))
	for service := range b.buckets {
		out[service] = b.fill(now, service).tokens
	}
	return out
}

// fill adds the tokens earned by time. The mutex is held.
func (b *Budgets) fill(now time.Time, service string) *bucket {
	c, ok := b.buckets[service]
	if !ok {
		c = &bucket{tokens: b.limit.Start, filled: now}
		b.buckets[service] = c
		return c
	}
	c.tokens = min(b.limit.Burst, c.tokens+b.limit.Rate*now.Sub(c.filled).Seconds())
	c.filled = now
	return c
}
