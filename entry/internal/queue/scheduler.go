package queue

import (
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
)

// recentWork is how long a rank counts as active after its last work.
const recentWork = time.Second

// deficitWindow bounds how much floor a rank can collect or owe. Without a bound, a rank that was
// held up by long uploads would afterwards keep the others out for as long.
const deficitWindow = time.Second

// waitMargin is the factor on the expected wait for the spread of service times. In a flood, the
// line is as long as the deadline allows, and without a margin one accepted confirmation in eight
// had to be refused at the end of its wait; see docs/policy.md.
const waitMargin = 1.25

// serviceMargin is the number of mean service times that must remain when a request that had to wait
// is started. With exponential service times, 5% of those that start with just this much left are late.
const serviceMargin = 3

// minRetry is the shortest time after which a refused caller should try again.
const minRetry = 100 * time.Millisecond

// scheduler holds the state of a queue. It has no clock and no lock: every method takes now.
type scheduler struct {
	policy    Policy
	view      View
	settings  [rank.Count]configuration.RankLimit
	lines     [rank.Count]line
	means     [rank.Count]mean
	counters  [rank.Count]Counters
	lastWork  [rank.Count]time.Time
	accounted time.Time
	arrivals  uint64
	alone     exclusive
	reserve   reserve
	draining  bool
	closed    bool
}

// newScheduler returns a scheduler whose ranks have neither floors nor caps.
func newScheduler(slots int, policy Policy, now time.Time) scheduler {
	s := scheduler{policy: policy, accounted: now}
	s.view.Kept = mostKept
	for r := range s.settings {
		s.settings[r] = configuration.RankLimit{Cap: 100, Queue: int(^uint(0) >> 1)}
	}
	s.setSlots(slots)
	return s
}

// limits replaces the limits of all ranks.
func (s *scheduler) limits(settings [rank.Count]configuration.RankLimit) {
	s.settings = settings
	s.setSlots(s.view.Slots)
}

// setSlots changes the number of slots and what floors and caps mean in slots.
func (s *scheduler) setSlots(slots int) {
	s.view.Slots = max(slots, 0)
	for r, l := range s.settings {
		s.view.Floor[r] = float64(l.Floor*s.view.Slots) / 100
		s.view.Cap[r] = capSlots(l.Cap, s.view.Slots)
	}
}

// admit appends a request to its line or refuses it.
func (s *scheduler) admit(now time.Time, slot *Slot) *RefusalError {
	s.account(now)
	slot.arrived = now
	r := slot.request.Rank
	wait := s.policy.Wait(&s.view, r)
	reason, ok := s.refusal(now, slot, wait)
	if !ok {
		return s.refuse(now, slot, reason, now.Add(max(wait, minRetry)))
	}
	s.arrivals++
	slot.number = s.arrivals
	s.lastWork[r] = now
	if slot.request.Exclusive {
		s.alone.line.push(slot)
	} else {
		s.lines[r].push(slot)
	}
	s.refresh(now)
	return nil
}

// refusal returns why a request cannot be admitted; ok is true if it can.
func (s *scheduler) refusal(now time.Time, slot *Slot, wait time.Duration) (reason Reason, ok bool) {
	r := slot.request.Rank
	switch {
	case s.closed:
		return Closed, false
	case s.draining:
		return Draining, false
	case s.lines[r].length+s.alone.waiting(r) >= s.settings[r].Queue && !s.immediate(r):
		return LineFull, false
	case s.late(now.Add(time.Duration(float64(wait)*waitMargin)), slot) && s.view.Slots > 0:
		return WaitTooLong, false
	}
	return 0, true
}

// immediate reports whether a request of the rank could start without waiting.
func (s *scheduler) immediate(r rank.Rank) bool {
	return s.view.Waiting[r] == 0 && s.view.Free() > 0 && s.policy.Wait(&s.view, r) == 0 && s.alone.line.length == 0
}

// late reports whether a request that starts at the given time is expected to miss its deadline.
// A request that need not wait is not judged by its expected service time: if all were refused by
// it, the mean could never become shorter again.
func (s *scheduler) late(start time.Time, slot *Slot) bool {
	if start.After(slot.arrived) {
		start = start.Add(serviceMargin * s.means[slot.request.Rank].value)
	}
	return !slot.request.Deadline.IsZero() && start.After(slot.request.Deadline)
}

// refuse marks a request as refused and counts it.
func (s *scheduler) refuse(now time.Time, slot *Slot, reason Reason, retry time.Time) *RefusalError {
	r := slot.request.Rank
	if retry.Before(now) {
		retry = now
	}
	slot.phase = refused
	slot.refusal = &RefusalError{Rank: r, Reason: reason, RetryAfter: retry}
	s.counters[r].Refused[reason]++
	return slot.refusal
}

// dispatch starts requests as long as the policy names one.
func (s *scheduler) dispatch(now time.Time) {
	s.account(now)
	for {
		if slot := s.alone.next(now, &s.view); slot != nil {
			s.alone.line.remove(slot)
			s.begin(now, slot)
			continue
		}
		view := s.alone.restrict(&s.view)
		if view == nil {
			return
		}
		r, ok := s.policy.Next(view)
		if !ok {
			return
		}
		slot := s.lines[r].head
		s.lines[r].remove(slot)
		s.begin(now, slot)
	}
}

// begin starts a request that left its line, or refuses it if its deadline has come too near.
func (s *scheduler) begin(now time.Time, slot *Slot) {
	r := slot.request.Rank
	if s.late(now, slot) {
		s.refuse(now, slot, Expired, now.Add(minRetry))
	} else {
		slot.phase = running
		s.view.Running[r]++
		s.counters[r].Started++
		s.counters[r].Waited += now.Sub(slot.arrived)
		s.alone.started(now, slot)
	}
	s.refresh(now)
	slot.wake()
}

// finish frees the slot of a running request.
func (s *scheduler) finish(now time.Time, slot *Slot, service time.Duration) {
	if slot.phase != running {
		return
	}
	s.account(now)
	r := slot.request.Rank
	slot.phase = done
	s.view.Running[r]--
	s.lastWork[r] = now
	s.counters[r].Finished++
	s.counters[r].Busy += service
	if service > 0 {
		s.means[r].add(service)
	}
	s.alone.finished(now, slot)
	s.refresh(now)
}

// abandon removes a request that nobody waits for.
func (s *scheduler) abandon(now time.Time, slot *Slot) {
	r := slot.request.Rank
	switch slot.phase {
	case waiting:
		s.account(now)
		s.leave(slot)
		slot.phase = done
		s.refresh(now)
	case running:
		s.finish(now, slot, 0)
	default:
		return
	}
	s.counters[r].Abandoned++
}

// expire refuses waiting requests at the head of their lines whose deadline has come too near.
func (s *scheduler) expire(now time.Time) {
	s.account(now)
	for _, l := range [...]*line{&s.lines[rank.Confirmation], &s.lines[rank.Lookup], &s.lines[rank.Upload], &s.alone.line} {
		for l.head != nil && s.late(now, l.head) {
			slot := l.head
			l.remove(slot)
			s.refuse(now, slot, Expired, now.Add(minRetry))
			slot.wake()
		}
	}
	s.refresh(now)
}

// close refuses everything that waits.
func (s *scheduler) close(now time.Time) {
	s.closed = true
	for _, l := range [...]*line{&s.lines[rank.Confirmation], &s.lines[rank.Lookup], &s.lines[rank.Upload], &s.alone.line} {
		for l.head != nil {
			slot := l.head
			l.remove(slot)
			s.refuse(now, slot, Closed, now)
			slot.wake()
		}
	}
	s.refresh(now)
}

// leave removes a waiting request from its line.
func (s *scheduler) leave(slot *Slot) {
	if slot.request.Exclusive {
		s.alone.line.remove(slot)
		return
	}
	s.lines[slot.request.Rank].remove(slot)
}

// idle reports whether nothing waits or runs.
func (s *scheduler) idle() bool {
	for r, l := range s.lines {
		if l.length > 0 || s.view.Running[r] > 0 {
			return false
		}
	}
	return s.alone.line.length == 0
}

// account adds the slot time since the last call to the deficits.
func (s *scheduler) account(now time.Time) {
	passed := now.Sub(s.accounted).Seconds()
	if passed > 0 {
		s.accounted = now
		s.reserve.account(&s.view, passed)
		s.view.Kept = s.reserve.kept()
		total := 0
		for _, w := range s.view.Waiting {
			total += w
		}
		for r := range s.view.Deficit {
			gain := s.view.Floor[r]
			if total > s.view.Waiting[r] {
				gain -= float64(s.view.Running[r])
			}
			bound := s.view.Floor[r] * deficitWindow.Seconds()
			s.view.Deficit[r] = min(max(s.view.Deficit[r]+gain*passed, -bound), bound)
		}
	}
	s.refresh(now)
}

// refresh copies lines and means to the view; a rank without waiting work is owed nothing.
func (s *scheduler) refresh(now time.Time) {
	for r := range s.lines {
		v, l := &s.view, &s.lines[r]
		v.Waiting[r] = l.length
		v.Mean[r] = s.means[r].value
		v.Recent[r] = l.length > 0 || v.Running[r] > 0 || !s.lastWork[r].IsZero() && now.Sub(s.lastWork[r]) < recentWork
		if l.head != nil {
			v.Oldest[r] = l.head.number
		} else {
			v.Deficit[r] = min(v.Deficit[r], 0)
		}
	}
}

// state returns a snapshot.
func (s *scheduler) state(now time.Time) State {
	s.account(now)
	out := State{Slots: s.view.Slots, Running: s.view.Slots - s.view.Free(), Draining: s.draining, Closed: s.closed, Exclusive: s.alone.line.length}
	for r := range rank.Rank(rank.Count) {
		out.Ranks[r] = RankState{
			Rank:     r.String(),
			Waiting:  s.view.Waiting[r],
			Running:  s.view.Running[r],
			Line:     s.settings[r].Queue,
			Cap:      s.view.Cap[r],
			Floor:    s.view.Floor[r],
			Deficit:  s.view.Deficit[r],
			Mean:     s.view.Mean[r],
			Wait:     s.policy.Wait(&s.view, r),
			Counters: s.counters[r],
		}
	}
	return out
}
