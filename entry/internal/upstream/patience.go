package upstream

import (
	"time"

	"bramleystand.org/common/rank"
)

const (
	// patienceFactor times the mean service time is when an answer is overdue. With
	// exponential service times one answer in 500 million takes longer.
	patienceFactor = 20
	// leastPatience is the shortest time after which an answer is overdue.
	leastPatience = 300 * time.Millisecond
	// patienceSamples is the number of answers of a rank before its mean is used, and
	// the weight of the past in the mean.
	patienceSamples = 32
)

// patience tells from the service times of each rank when an answer is overdue.
type patience struct {
	means   [rank.Count]time.Duration
	samples [rank.Count]int
}

// add includes the time from sending a request to the first byte of its answer.
func (p *patience) add(r rank.Rank, service time.Duration) {
	p.samples[r] = min(p.samples[r]+1, patienceSamples)
	p.means[r] += (service - p.means[r]) / time.Duration(p.samples[r])
}

// overdue returns when the answer to a request that is sent now is overdue; while
// too little is known that is its deadline.
func (p *patience) overdue(now time.Time, r rank.Rank, deadline time.Time) time.Time {
	if p.samples[r] < patienceSamples {
		return deadline
	}
	return now.Add(max(leastPatience, patienceFactor*p.means[r]))
}
