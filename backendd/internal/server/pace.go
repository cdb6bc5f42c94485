package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleystand.org/common/rank"
)

// coldFactor is how many times longer an execution takes right after the start.
const coldFactor = 3

// pace draws exponential service times.
type pace struct {
	means      [rank.Count]time.Duration
	start, end time.Time

	mu     sync.Mutex
	random *rand.Rand
}

func newPace(c Config, start time.Time) *pace {
	return &pace{
		means:  c.Means,
		start:  start,
		end:    c.Warm,
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
}

// draw returns a service time, longer by slow and while the server is cold.
func (p *pace) draw(r rank.Rank, slow float64, now time.Time) time.Duration {
	p.mu.Lock()
	x := p.random.ExpFloat64()
	p.mu.Unlock()
	return time.Duration(x * float64(p.means[r]) * slow * p.cold(now))
}

// cold falls linearly from coldFactor to 1.
func (p *pace) cold(now time.Time) float64 {
	if !now.Before(p.end) {
		return 1
	}
	left := float64(p.end.Sub(now)) / float64(p.end.Sub(p.start))
	return 1 + (coldFactor-1)*left
}
