package upstream

import (
	"time"

	"bramleystand.org/common/rank"
)

const (
	// overdueFactor is the multiple of the mean service time after which a response is overdue. With
	// exponentially distributed service times, one response in 500 million takes longer.
	overdueFactor = 20
	// minOverdue is the shortest time after which a response is overdue.
	minOverdue = 300 * time.Millisecond
	// meanSamples is the number of responses of a rank that are needed before its mean is used. After that, the
	// mean is a moving average in which a new response has the weight 1/meanSamples.
	meanSamples = 32
)

// overdueEstimator estimates from the service times of each rank when a response is overdue.
type overdueEstimator struct {
	means   [rank.Count]time.Duration
	samples [rank.Count]int
}

// add adds a sample: the time from sending a request to the first byte of its response.
func (e *overdueEstimator) add(r rank.Rank, serviceTime time.Duration) {
	e.samples[r] = min(e.samples[r]+1, meanSamples)
	e.means[r] += (serviceTime - e.means[r]) / time.Duration(e.samples[r])
}

// overdueAt returns when the response to a request that is sent now is overdue. While there are fewer than
// meanSamples samples, that is the deadline of the request.
func (e *overdueEstimator) overdueAt(now time.Time, r rank.Rank, deadline time.Time) time.Time {
	if e.samples[r] < meanSamples {
		return deadline
	}
	return now.Add(max(minOverdue, overdueFactor*e.means[r]))
}
