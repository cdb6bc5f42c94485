package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleystand.org/common/rank"
)

// maxWarmupFactor is how many times longer an execution takes right after the start.
const maxWarmupFactor = 3

// serviceTimes draws service times from an exponential distribution.
type serviceTimes struct {
	means                  [rank.Count]time.Duration
	warmupStart, warmupEnd time.Time

	mu     sync.Mutex
	random *rand.Rand
}

func newServiceTimes(c Config, start time.Time) *serviceTimes {
	return &serviceTimes{
		means:       c.MeanServiceTimes,
		warmupStart: start,
		warmupEnd:   c.WarmAt,
		random:      rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// draw returns a random service time, multiplied by slowFactor and by the warm-up factor.
func (t *serviceTimes) draw(r rank.Rank, slowFactor float64, now time.Time) time.Duration {
	t.mu.Lock()
	x := t.random.ExpFloat64()
	t.mu.Unlock()
	return time.Duration(x * float64(t.means[r]) * slowFactor * t.warmupFactor(now))
}

// warmupFactor falls linearly from maxWarmupFactor at the start to 1 at the end of the
// warm-up.
func (t *serviceTimes) warmupFactor(now time.Time) float64 {
	if !now.Before(t.warmupEnd) {
		return 1
	}
	remaining := float64(t.warmupEnd.Sub(now)) / float64(t.warmupEnd.Sub(t.warmupStart))
	return 1 + (maxWarmupFactor-1)*remaining
}
