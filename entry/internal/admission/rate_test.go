package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/admission"
)

// newRequest returns a request that arrives now with an objective of 500 ms.
func newRequest(now time.Time, rank int) *admission.Request {
	return &admission.Request{Rank: rank, Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
}

// submitSteadily submits 20 requests a second that take 100 ms each, with ranks 0 and 1 in turn. It
// returns the times of the starts, and the number of them by rank.
func submitSteadily(s *admission.Scheduler, from time.Time, duration time.Duration) (starts []time.Time, byRank [2]int) {
	const step = 10 * time.Millisecond
	ends := make(map[time.Time][]*admission.Request)
	for n := 0; time.Duration(n)*step < duration; n++ {
		now := from.Add(time.Duration(n) * step)
		var decisions []admission.Decision
		for _, r := range ends[now] {
			decisions = append(decisions, s.Finish(now, r, 100*time.Millisecond)...)
		}
		if n%5 == 0 {
			decisions = append(decisions, s.Submit(now, newRequest(now, n/5%2))...)
		}
		decisions = append(decisions, s.Expire(now)...)
		for _, d := range decisions {
			if d.Started {
				starts = append(starts, now)
				byRank[d.Request.Rank]++
				end := now.Add(100 * time.Millisecond)
				ends[end] = append(ends[end], d.Request)
			}
		}
	}
	return starts, byRank
}

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more starts in a window than the rate allows, and against a rate that is not used.
func TestRateLimitsStarts(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		perSecond    float64
		inWindow     int
		atLeastInAll int
	}{{0.25, 2, 4}, {0.5, 3, 9}, {3, 15, 57}, {12.25, 53, 230}} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			s := admission.New(4)
			s.SetRate(start, c.perSecond)
			starts, byRank := submitSteadily(s, start, 20*time.Second)
			must.LessEq(t, c.inWindow, mostIn(starts, 4*time.Second))
			must.GreaterEq(t, c.atLeastInAll, len(starts))
			must.GreaterEq(t, byRank[1], byRank[0])
			s.ClearRate()
			starts, _ = submitSteadily(s, start.Add(20*time.Second), 4*time.Second)
			must.GreaterEq(t, 78, len(starts))
		})
	}
}

// Guards against a refusal whose retry time is too early, and against one that is not told apart from a
// lack of slots.
func TestRateRefusalRetry(t *testing.T) {
	start := time.Unix(1000, 0)
	s := admission.New(4)
	s.SetRate(start, 0.5)
	d := s.Submit(start, newRequest(start, 0))[0]
	must.False(t, d.Started)
	must.True(t, d.OverRate)
	must.Eq(t, start.Add(2*time.Second), d.RetryAt)
	must.Eq(t, 2*time.Second, s.ExpectedWait(start, 0))
	d = s.Submit(d.RetryAt, newRequest(d.RetryAt, 0))[0]
	must.True(t, d.Started)
}

// Guards against a changed limit that gives out more than the new rate, or loses what was saved up.
func TestRateChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	s := admission.New(4)
	s.SetRate(start, 10)
	s.SetRate(start.Add(10*time.Second), 1)
	_, _ = submitSteadily(s, start.Add(10*time.Second), time.Second)
	starts, _ := submitSteadily(s, start.Add(11*time.Second), 4*time.Second)
	must.LessEq(t, 5, len(starts))
}
