package dispatch

import (
	"sync"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
)

const (
	// minBackoff and maxBackoff bound the time for which a server that can't be reached gets no
	// requests; each consecutive failure doubles it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// averageSamples sets the weight of a new sample in the moving average of a server's
	// response times: 1/averageSamples.
	averageSamples = 20
	// ownerLossTime is how long the keys of a server that can't be reached stay without another owner: it
	// counts as silent after 0.9 s, its last grant expires within 3.2 s, and a plan is made each 0.1 s.
	ownerLossTime = 4200 * time.Millisecond
	// lostFailures is the number of consecutive failures from which a server is taken for lost. With the
	// back-off between them they take 0.3 s, longer than a full queue of connections.
	lostFailures = 3
)

// backend is a backend server with its client and the response times seen by this process.
type backend struct {
	server registry.Server
	client *origin.Client

	mu       sync.Mutex
	running  int
	meanTime time.Duration
	// failures is the number of consecutive failures to reach the server.
	failures   int
	backoffEnd time.Time
	// unreachableSince is the time of the first of these failures.
	unreachableSince time.Time
}

// backoff returns the end of the server's back-off, and whether it is still ahead.
func (b *backend) backoff(now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoffEnd, now.Before(b.backoffEnd)
}

// keysReturn returns when a client should try again for a key of the server, which can't be reached: at the
// given time, or when another server has got the keys.
func (b *backend) keysReturn(at time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if moved := b.unreachableSince.Add(ownerLossTime); b.failures >= lostFailures && moved.After(at) {
		return moved
	}
	return at
}

// requestStarted records that a request is being sent.
func (b *backend) requestStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
}

// requestEnded records the end of a request; reached is false if no connection could be opened.
func (b *backend) requestEnded(now time.Time, serviceTime time.Duration, reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if reached {
		b.failures, b.backoffEnd = 0, time.Time{}
		if b.meanTime == 0 {
			b.meanTime = serviceTime
		}
		b.meanTime += (serviceTime - b.meanTime) / averageSamples
		return
	}
	if b.failures == 0 {
		b.unreachableSince = now
	}
	b.failures++
	b.backoffEnd = now.Add(min(maxBackoff, minBackoff<<min(b.failures-1, 4)))
}

// expectedTime returns the expected response time under the present load: the mean, lengthened
// in proportion to the running requests that exceed the server's slots.
func (b *backend) expectedTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := max(0, b.running-b.server.Slots+1)
	return b.meanTime + b.meanTime*time.Duration(excess)/time.Duration(b.server.Slots)
}
