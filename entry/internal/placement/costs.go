package placement

import "time"

const (
	// initialCost is the assumed cost of a request before any has ended.
	initialCost = 100 * time.Millisecond
	// costSamples sets the weight of a new sample in the mean cost of a class.
	costSamples = 50
	// rankCount is the number of classes; higher ranks count as the last one.
	rankCount = 4
	// longRatio is the ratio of a request's time to what is expected from which it counts as a long one.
	longRatio = 2
	// initialLongRatio is the assumed ratio of long requests before any has ended.
	initialLongRatio = 4
	// longSamples sets the weight of a new sample in the mean ratio of the long requests, which are few.
	longSamples = 5
	// minRemaining is the least part of its expected time for which a running request goes on.
	minRemaining = 0.25
)

// costs are the costs of the requests of a pool by class, in time at a server of mean speed. The class of a
// request is its rank, because a rank has one route or a few that are alike.
type costs struct {
	classes [rankCount]class
}

type class struct {
	mean time.Duration
	// long is the mean ratio of the long requests to the mean.
	long float64
}

func (c *costs) class(rank int) *class { return &c.classes[min(max(rank, 0), rankCount-1)] }

// mean returns the expected cost of a request, or that of another class if none of its own has ended.
func (c *costs) mean(rank int) time.Duration {
	if m := c.class(rank).mean; m > 0 {
		return m
	}
	for _, k := range c.classes {
		if k.mean > 0 {
			return k.mean
		}
	}
	return initialCost
}

// record adds the time of a request on a server that takes factor times the mean, and returns the mean cost
// that it is to be compared with.
func (c *costs) record(rank int, took time.Duration, factor float64) time.Duration {
	k := c.class(rank)
	cost := time.Duration(float64(took) / factor)
	if k.mean == 0 {
		k.mean = cost
	}
	if ratio := float64(cost) / float64(k.mean); ratio >= longRatio {
		if k.long == 0 {
			k.long = ratio
		}
		k.long += (ratio - k.long) / longSamples
	}
	k.mean += (cost - k.mean) / costSamples
	return max(k.mean, 1)
}

// remaining returns how long a request is expected to run on that has run for some time on a server which
// takes factor times the mean. One that has run for longer than most is taken for a long one.
func (c *costs) remaining(rank int, factor float64, elapsed time.Duration) time.Duration {
	expected := float64(c.mean(rank)) * factor
	least := expected * minRemaining
	if float64(elapsed) < expected*longRatio {
		return time.Duration(max(least, expected-float64(elapsed)))
	}
	long := c.class(rank).long
	if long == 0 {
		long = initialLongRatio
	}
	return time.Duration(max(least, expected*long-float64(elapsed)))
}
