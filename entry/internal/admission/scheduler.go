// Package admission decides which request gets the next slot of a backend server, and which
// is refused.
//
// It answers loads beyond what a server can run, where a line in order of arrival would serve
// nearly every request too late. An answer within its objective is worth several times a late
// one. So a request that can still be in time goes before one that can't, and of those that
// can, the most urgent one. Less urgent work that must start now to be in time may go before more
// urgent work for a share of the starts, its floor. A few late requests wait for slots that nobody in time wants;
// the rest is refused at once, so that its client can come back in time.
//
// # Usage
//
//	s := admission.New(slots)
//	outcomes := s.Offer(now, request)
//	outcomes = s.Finish(now, request, service)
//	outcomes = s.Expire(now)
package admission

import (
	"slices"
	"time"
)

const (
	// firstMean is the mean service time before any request has ended.
	firstMean = 100 * time.Millisecond
	// meanSamples is the weight of the past in a mean.
	meanSamples = 20
	// shortest is the shortest time after which a refused request may come back.
	shortest = 50 * time.Millisecond
	// floor is the share of the starts that less urgent work has while urgent work waits.
	floor = 0.2
	// mostCredit bounds the starts that less urgent work saves up.
	mostCredit = 2
	// ranks is the number of ranks that are told apart.
	ranks = 4
)

// Scheduler holds the slots and the waiting requests of one server. It has no clock and is not
// safe for concurrent use.
type Scheduler struct {
	slots   int
	running int
	waiting []*Request
	numbers uint64
	means   [ranks]time.Duration
	// credit is the number of starts that less urgent work may make before more urgent work.
	credit float64
}

// New returns a scheduler without requests.
func New(slots int) *Scheduler { return &Scheduler{slots: max(1, slots)} }

// SetSlots changes the number of slots.
func (s *Scheduler) SetSlots(n int) { s.slots = max(1, n) }

// Idle reports whether nothing waits or runs.
func (s *Scheduler) Idle() bool { return s.running == 0 && len(s.waiting) == 0 }

// Waiting reports whether requests wait.
func (s *Scheduler) Waiting() bool { return len(s.waiting) > 0 }

// Running returns the number of requests that have a slot.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of requests that wait.
func (s *Scheduler) Queued() int { return len(s.waiting) }

// Wait returns how long a request of a rank that came now would wait.
func (s *Scheduler) Wait(rank int) time.Duration {
	if s.running < s.slots && len(s.waiting) == 0 {
		return 0
	}
	return s.drain(len(s.waiting)+1+max(0, s.running-s.slots), rank)
}

// drain returns the time in which a number of requests get their slots.
func (s *Scheduler) drain(n, rank int) time.Duration {
	return s.mean(rank) * time.Duration(n) / time.Duration(s.slots)
}

// mean returns the mean service time of a rank.
func (s *Scheduler) mean(rank int) time.Duration {
	if m := s.means[bounded(rank)]; m > 0 {
		return m
	}
	for _, m := range s.means {
		if m > 0 {
			return m
		}
	}
	return firstMean
}

func bounded(rank int) int { return min(max(rank, 0), ranks-1) }

// latest returns when a request must start to be in time.
func (s *Scheduler) latest(r *Request) time.Time { return r.Objective.Add(-s.mean(r.Rank)) }

// Offer adds a request. The outcomes are those that follow from it, its own among them unless
// it waits.
func (s *Scheduler) Offer(now time.Time, r *Request) []Outcome {
	s.numbers++
	r.number = s.numbers
	if s.running < s.slots && len(s.waiting) == 0 {
		return []Outcome{s.start(r)}
	}
	ahead := s.ahead(r)
	start := now.Add(s.drain(ahead+1, r.Rank))
	if start.After(s.latest(r)) {
		r.late = true
		if !s.roomForLate() || now.Add(s.drain(len(s.waiting)+1, r.Rank)).After(s.giveUp(r)) {
			return []Outcome{s.refuse(now, r)}
		}
	}
	s.waiting = append(s.waiting, r)
	return s.dispatch(now)
}

// ahead returns how many waiting requests start before a new one. Of the less urgent ones it is
// as many as the credit allows.
func (s *Scheduler) ahead(r *Request) int {
	n, less := 0, 0
	for _, w := range s.waiting {
		switch {
		case w.late || !s.before(w, r):
		case w.Rank > r.Rank:
			less++
		default:
			n++
		}
	}
	return n + min(less, int(s.credit))
}

// roomForLate reports whether another late request may wait.
func (s *Scheduler) roomForLate() bool {
	n := 0
	for _, w := range s.waiting {
		if w.late {
			n++
		}
	}
	return n < s.slots
}

// giveUp returns when a late request has waited long enough: it must still be served before its
// deadline, and a client that is refused needs time to come back.
func (s *Scheduler) giveUp(r *Request) time.Time {
	half := r.Arrived.Add(r.Deadline.Sub(r.Arrived) / 2)
	last := r.Deadline.Add(-s.mean(r.Rank) * 3 / 2)
	if last.Before(half) {
		return last
	}
	return half
}

// Finish frees the slot of a request with the time that the server took, or 0 if nothing was sent.
func (s *Scheduler) Finish(now time.Time, r *Request, service time.Duration) []Outcome {
	if !r.running {
		s.remove(r)
		return s.dispatch(now)
	}
	r.running = false
	s.running--
	if service > 0 {
		m := &s.means[bounded(r.Rank)]
		if *m == 0 {
			*m = service
		}
		*m += (service - *m) / meanSamples
	}
	return s.dispatch(now)
}

// Expire looks at the waiting requests after time has passed.
func (s *Scheduler) Expire(now time.Time) []Outcome { return s.dispatch(now) }

// remove takes a request out of the line.
func (s *Scheduler) remove(r *Request) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Request) bool { return w == r })
}

// dispatch refuses what has waited too long and starts what has a slot.
func (s *Scheduler) dispatch(now time.Time) []Outcome {
	out := s.expire(now)
	for s.running < s.slots {
		r := s.next()
		if r == nil {
			break
		}
		s.remove(r)
		out = append(out, s.start(r))
	}
	return out
}

// expire turns requests that have missed their objective into late ones, as far as there is room,
// and refuses the others.
func (s *Scheduler) expire(now time.Time) []Outcome {
	var out []Outcome
	for _, r := range slices.Clone(s.waiting) {
		if !r.late && now.After(s.latest(r)) {
			if !s.roomForLate() {
				s.remove(r)
				out = append(out, s.refuse(now, r))
				continue
			}
			r.late = true
		}
		if r.late && now.After(s.giveUp(r)) {
			s.remove(r)
			out = append(out, s.refuse(now, r))
		}
	}
	return out
}

// next returns the request that starts next, or nil.
func (s *Scheduler) next() *Request {
	var best *Request
	for _, r := range s.waiting {
		if best == nil || s.before(r, best) {
			best = r
		}
	}
	return best
}

// before reports whether a starts before b.
func (s *Scheduler) before(a, b *Request) bool {
	if a.late != b.late {
		return b.late
	}
	if a.late {
		return a.number < b.number
	}
	la, lb := s.latest(a), s.latest(b)
	if a.Rank != b.Rank && s.credit < 1 {
		return a.Rank < b.Rank
	}
	if la.Equal(lb) {
		return a.number < b.number
	}
	return la.Before(lb)
}

// start gives a request a slot. A start before more urgent work is paid from the credit, which
// urgent starts before less urgent work fill.
func (s *Scheduler) start(r *Request) Outcome {
	r.running = true
	s.running++
	for _, w := range s.waiting {
		switch {
		case w.late:
		case w.Rank < r.Rank:
			s.credit = max(0, s.credit-1)
			return Outcome{Request: r, Started: true}
		case w.Rank > r.Rank:
			s.credit = min(mostCredit, s.credit+floor/(1-floor))
			return Outcome{Request: r, Started: true}
		}
	}
	return Outcome{Request: r, Started: true}
}

// refuse returns the refusal of a request, with the time at which the line will have moved on.
func (s *Scheduler) refuse(now time.Time, r *Request) Outcome {
	wait := s.drain(max(1, len(s.waiting)-s.slots), r.Rank)
	return Outcome{Request: r, RetryAt: now.Add(max(shortest, wait))}
}
