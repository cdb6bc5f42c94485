// Package admission decides which request gets the next free slot of a backend server, and which
// requests are refused.
//
// It is made for loads above the capacity of a server, where a FIFO queue would serve nearly
// every request too late. A response within the objective is worth several times a late one.
// Therefore a request that can still meet its objective goes before one that can't, and among
// those that can, the most urgent goes first. A less urgent request that must start now to meet
// its objective may go before more urgent ones, for a fixed share of the starts. A few late
// requests wait for slots that no other request needs; the rest are refused at once, so that the
// client can retry in time.
//
// A server may also limit how many requests it takes in a second. Requests then start no faster than
// that, and each estimate of a wait counts the time until the server takes another request.
//
// # Usage
//
//	s := admission.New(slots)
//	s.SetRate(now, perSecond)
//	decisions := s.Submit(now, request)
//	decisions = s.Finish(now, request, serviceTime)
//	decisions = s.Expire(now)
package admission

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// initialMeanTime is the assumed mean service time before any request has ended.
	initialMeanTime = 100 * time.Millisecond
	// averageSamples sets the weight of a new sample in a moving average: 1/averageSamples.
	averageSamples = 20
	// minRetryDelay is the shortest time after which a refused request may be submitted again.
	minRetryDelay = 50 * time.Millisecond
	// lessUrgentShare is the share of the starts that less urgent requests get while more
	// urgent ones wait.
	lessUrgentShare = 0.2
	// maxCredit bounds the starts that less urgent requests can save up.
	maxCredit = 2
	// rankCount is the number of ranks with a mean service time of their own; higher ranks
	// count as the last one.
	rankCount = 4
	// maxBurst bounds the requests that may start at once after a time with few requests.
	maxBurst = 4
)

// Scheduler assigns the slots of one server to its queued requests. It has no clock and is not
// safe for concurrent use.
type Scheduler struct {
	slots        int
	running      int
	queue        []*Request
	lastSequence uint64
	meanTimes    [rankCount]time.Duration
	// credit is the number of starts that less urgent requests may make before more urgent ones.
	credit float64
	// rate limits the starts; it is nil if the server names no limit.
	rate *rate.Limiter
}

// New returns a scheduler without requests.
func New(slots int) *Scheduler { return &Scheduler{slots: max(1, slots)} }

// SetSlots changes the number of slots.
func (s *Scheduler) SetSlots(n int) { s.slots = max(1, n) }

// SetRate limits the requests that start in a second, which must be above zero, from now on. A server that has just named its limit
// may have got too many requests already, so none is saved up at first.
func (s *Scheduler) SetRate(now time.Time, perSecond float64) {
	burst := int(min(max(1, perSecond), maxBurst))
	if s.rate == nil {
		s.rate = rate.NewLimiter(rate.Limit(perSecond), burst)
		s.rate.AllowN(now, burst)
		return
	}
	if s.rate.Limit() != rate.Limit(perSecond) {
		s.rate.SetLimitAt(now, rate.Limit(perSecond))
		s.rate.SetBurstAt(now, burst)
	}
}

// ClearRate ends the limit that SetRate has set.
func (s *Scheduler) ClearRate() { s.rate = nil }

// Idle reports whether no request is queued or running.
func (s *Scheduler) Idle() bool { return s.running == 0 && len(s.queue) == 0 }

// HasQueued reports whether any request is queued.
func (s *Scheduler) HasQueued() bool { return len(s.queue) > 0 }

// Running returns the number of requests that have a slot.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of requests that wait for a slot.
func (s *Scheduler) Queued() int { return len(s.queue) }

// ExpectedWait returns how long a request of a rank would wait if it were submitted now.
func (s *Scheduler) ExpectedWait(now time.Time, rank int) time.Duration {
	if s.running < s.slots && len(s.queue) == 0 {
		return s.timeToRate(now, 1)
	}
	return s.timeToStart(now, len(s.queue)+1+max(0, s.running-s.slots), rank)
}

// timeToStart returns the estimated time until n requests have got slots and the rate allows them.
func (s *Scheduler) timeToStart(now time.Time, n, rank int) time.Duration {
	return max(s.timeToSlot(n, rank), s.timeToRate(now, n))
}

// timeToSlot returns the estimated time until n requests have got slots.
func (s *Scheduler) timeToSlot(n, rank int) time.Duration {
	return s.meanTime(rank) * time.Duration(n) / time.Duration(s.slots)
}

// timeToRate returns the time until the rate allows n more requests to start.
func (s *Scheduler) timeToRate(now time.Time, n int) time.Duration {
	if s.rate == nil {
		return 0
	}
	missing := max(0, float64(n)-s.rate.TokensAt(now))
	return time.Duration(math.Ceil(missing / float64(s.rate.Limit()) * float64(time.Second)))
}

// meanTime returns the mean service time of a rank, or that of another rank if no request of the
// rank has ended yet.
func (s *Scheduler) meanTime(rank int) time.Duration {
	if m := s.meanTimes[clampRank(rank)]; m > 0 {
		return m
	}
	for _, m := range s.meanTimes {
		if m > 0 {
			return m
		}
	}
	return initialMeanTime
}

func clampRank(rank int) int { return min(max(rank, 0), rankCount-1) }

// latestStart returns when a request must start to meet its objective.
func (s *Scheduler) latestStart(r *Request) time.Time { return r.Objective.Add(-s.meanTime(r.Rank)) }

// Submit adds a request and returns the resulting decisions. The decision on the request itself
// is among them unless it is queued.
func (s *Scheduler) Submit(now time.Time, r *Request) []Decision {
	s.lastSequence++
	r.sequence = s.lastSequence
	if s.running < s.slots && len(s.queue) == 0 && s.allowStart(now) {
		return []Decision{s.start(r)}
	}
	ahead := s.countAhead(r)
	start := now.Add(s.timeToStart(now, ahead+1, r.Rank))
	if start.After(s.latestStart(r)) {
		r.late = true
		if !s.hasRoomForLate() || now.Add(s.timeToStart(now, len(s.queue)+1, r.Rank)).After(s.lateLimit(r)) {
			return []Decision{s.refuse(now, r)}
		}
	}
	s.queue = append(s.queue, r)
	return s.schedule(now)
}

// countAhead returns the number of queued requests that start before a new one. Of the less
// urgent ones, it counts as many as the credit allows.
func (s *Scheduler) countAhead(r *Request) int {
	n, lessUrgent := 0, 0
	for _, q := range s.queue {
		switch {
		case q.late || !s.startsBefore(q, r):
		case q.Rank > r.Rank:
			lessUrgent++
		default:
			n++
		}
	}
	return n + min(lessUrgent, int(s.credit))
}

// hasRoomForLate reports whether another late request may be queued: there may be as many as slots.
func (s *Scheduler) hasRoomForLate() bool {
	n := 0
	for _, q := range s.queue {
		if q.late {
			n++
		}
	}
	return n < s.slots
}

// lateLimit returns until when a late request may wait: it must still be served before its
// deadline, and a client whose request is refused needs time to retry.
func (s *Scheduler) lateLimit(r *Request) time.Time {
	half := r.Arrived.Add(r.Deadline.Sub(r.Arrived) / 2)
	last := r.Deadline.Add(-s.meanTime(r.Rank) * 3 / 2)
	if last.Before(half) {
		return last
	}
	return half
}

// Finish frees the slot of a request, or removes the request from the queue if it has none.
// The service time is the time that the server took, or 0 if nothing was sent.
func (s *Scheduler) Finish(now time.Time, r *Request, serviceTime time.Duration) []Decision {
	if !r.running {
		s.remove(r)
		return s.schedule(now)
	}
	r.running = false
	s.running--
	if serviceTime > 0 {
		m := &s.meanTimes[clampRank(r.Rank)]
		if *m == 0 {
			*m = serviceTime
		}
		*m += (serviceTime - *m) / averageSamples
	}
	return s.schedule(now)
}

// Expire refuses the queued requests that have waited too long. It must be called at short
// intervals, because the scheduler has no clock.
func (s *Scheduler) Expire(now time.Time) []Decision { return s.schedule(now) }

// remove removes a request from the queue.
func (s *Scheduler) remove(r *Request) {
	s.queue = slices.DeleteFunc(s.queue, func(q *Request) bool { return q == r })
}

// schedule refuses the requests that have waited too long and starts others while slots are free.
func (s *Scheduler) schedule(now time.Time) []Decision {
	out := s.refuseExpired(now)
	for s.running < s.slots {
		r := s.next()
		if r == nil || !s.allowStart(now) {
			break
		}
		s.remove(r)
		out = append(out, s.start(r))
	}
	return out
}

// refuseExpired marks queued requests that can no longer meet their objective as late, as far as
// there is room for late ones, and refuses the others. It also refuses late requests whose limit
// has passed.
func (s *Scheduler) refuseExpired(now time.Time) []Decision {
	var out []Decision
	for _, r := range slices.Clone(s.queue) {
		if !r.late && now.After(s.latestStart(r)) {
			if !s.hasRoomForLate() {
				s.remove(r)
				out = append(out, s.refuse(now, r))
				continue
			}
			r.late = true
		}
		if r.late && now.After(s.lateLimit(r)) {
			s.remove(r)
			out = append(out, s.refuse(now, r))
		}
	}
	return out
}

// next returns the queued request that starts next, or nil if there is none.
func (s *Scheduler) next() *Request {
	var best *Request
	for _, r := range s.queue {
		if best == nil || s.startsBefore(r, best) {
			best = r
		}
	}
	return best
}

// startsBefore reports whether a starts before b. Requests that can meet their objective go before
// late ones, ordered by rank and then by latest start; while there is credit for less urgent
// requests, by latest start alone. Late ones are ordered by submission.
func (s *Scheduler) startsBefore(a, b *Request) bool {
	if a.late != b.late {
		return b.late
	}
	if a.late {
		return a.sequence < b.sequence
	}
	latestA, latestB := s.latestStart(a), s.latestStart(b)
	if a.Rank != b.Rank && s.credit < 1 {
		return a.Rank < b.Rank
	}
	if latestA.Equal(latestB) {
		return a.sequence < b.sequence
	}
	return latestA.Before(latestB)
}

// start gives a request a slot. A start before more urgent requests costs one credit; a start
// before less urgent ones adds to the credit.
func (s *Scheduler) start(r *Request) Decision {
	r.running = true
	s.running++
	for _, q := range s.queue {
		switch {
		case q.late:
		case q.Rank < r.Rank:
			s.credit = max(0, s.credit-1)
			return Decision{Request: r, Started: true}
		case q.Rank > r.Rank:
			s.credit = min(maxCredit, s.credit+lessUrgentShare/(1-lessUrgentShare))
			return Decision{Request: r, Started: true}
		}
	}
	return Decision{Request: r, Started: true}
}

// allowStart reports whether the rate allows another request to start now, and counts it.
func (s *Scheduler) allowStart(now time.Time) bool { return s.rate == nil || s.rate.AllowN(now, 1) }

// refuse returns the refusal of a request. Its retry time is when the queue is expected to be
// short enough and the rate to allow another request.
func (s *Scheduler) refuse(now time.Time, r *Request) Decision {
	slotWait := max(minRetryDelay, s.timeToSlot(max(1, len(s.queue)-s.slots), r.Rank))
	rateWait := s.timeToRate(now, len(s.queue)+1)
	return Decision{Request: r, RetryAt: now.Add(max(slotWait, rateWait)), OverRate: rateWait > slotWait}
}
