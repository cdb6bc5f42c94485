// Package retry limits how often requests are sent again, so that retries never multiply the load
// of a service that is failing.
//
// # Usage
//
//	b := retry.New(retry.Limit{RetriesPerRequest: 0.1, RetriesPerSecond: 10, Burst: 100, Initial: 100})
//	b.Deposit(time.Now(), service)
//	if b.Withdraw(time.Now(), service) {
//		// Send the request again.
//	}
package retry

import (
	"sync"
	"time"
)

// Budgets holds one token bucket of retries for each service. It is safe for concurrent use.
type Budgets struct {
	limit Limit

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket has one token for each retry that is allowed now.
type bucket struct {
	tokens   float64
	refilled time.Time
}

// New returns budgets with the same limit for each service.
func New(l Limit) *Budgets {
	return &Budgets{limit: l, buckets: make(map[string]*bucket)}
}

// SetLimit replaces the limit. Tokens above the new burst are dropped.
func (b *Budgets) SetLimit(l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = l
	for _, c := range b.buckets {
		c.tokens = min(c.tokens, l.Burst)
	}
}

// Deposit adds the share of a request to the budget of its service. It must be called once for each
// request, at the first attempt.
func (b *Budgets) Deposit(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.refill(now, service)
	c.tokens = min(b.limit.Burst, c.tokens+b.limit.RetriesPerRequest)
}

// Withdraw takes one retry from the budget of a service. It returns false if none is left.
func (b *Budgets) Withdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.refill(now, service)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// Balances returns the number of retries in each budget, by service.
func (b *Budgets) Balances(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.buckets))
	for service := range b.buckets {
		out[service] = b.refill(now, service).tokens
	}
	return out
}

// refill returns the bucket of a service, after adding the tokens that the rate has earned since
// the last call. The mutex is held.
func (b *Budgets) refill(now time.Time, service string) *bucket {
	c, ok := b.buckets[service]
	if !ok {
		c = &bucket{tokens: b.limit.Initial, refilled: now}
		b.buckets[service] = c
		return c
	}
	c.tokens = min(b.limit.Burst, c.tokens+b.limit.RetriesPerSecond*now.Sub(c.refilled).Seconds())
	c.refilled = now
	return c
}
