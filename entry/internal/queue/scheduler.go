package queue

import (
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
)

// activityWindow is how long a rank counts as active after its last request arrived or finished.
const activityWindow = time.Second

// deficitWindow limits the deficit of a rank, in either direction, to the slot time of its floor over
// this duration. Without a limit, a rank that was held up by long uploads would afterwards keep the
// others out for as long.
const deficitWindow = time.Second

// waitMargin is the factor on the expected wait that allows for the spread of service times. Under
// overload the queue of a rank grows as long as the deadline allows, and without a margin one accepted
// confirmation in eight had to be refused at the end of its wait; see docs/policy.md.
const waitMargin = 1.25

// requiredServiceTimes is the number of mean service times that must remain when a request that had to wait
// is started. With exponential service times, 5% of the requests that start with just this much time
// left are late.
const requiredServiceTimes = 3

// minRetryDelay is the least delay after which a refused request should be sent again.
const minRetryDelay = 100 * time.Millisecond

// scheduler holds the state of a Queue. It has no lock and no clock; its methods take the current time.
type scheduler struct {
	policy           Policy
	view             PolicyView
	rankLimits       [rank.Count]configuration.RankLimit
	queues           [rank.Count]fifo
	meanServiceTime  [rank.Count]runningMean
	counters         [rank.Count]Counters
	lastActive       [rank.Count]time.Time
	accumulatedUntil time.Time
	arrivals         uint64
	exclusive        exclusiveScheduler
	uploadReserve    uploadReserve
	draining         bool
	closed           bool
}

// newScheduler returns a scheduler whose ranks have neither floors nor caps.
func newScheduler(slots int, policy Policy, now time.Time) scheduler {
	s := scheduler{policy: policy, accumulatedUntil: now}
	s.view.ReservedSlots = maxReserved
	for r := range s.rankLimits {
		s.rankLimits[r] = configuration.RankLimit{Cap: 100, Queue: int(^uint(0) >> 1)}
	}
	s.setSlots(slots)
	return s
}

// setLimits replaces the limits of all ranks.
func (s *scheduler) setLimits(rankLimits [rank.Count]configuration.RankLimit) {
	s.rankLimits = rankLimits
	s.setSlots(s.view.Slots)
}

// setSlots changes the number of slots and converts floors and caps from percent to slots.
func (s *scheduler) setSlots(slots int) {
	s.view.Slots = max(slots, 0)
	for r, l := range s.rankLimits {
		s.view.Floor[r] = float64(l.Floor*s.view.Slots) / 100
		s.view.Cap[r] = capSlots(l.Cap, s.view.Slots)
	}
}

// admit appends a request to its queue or refuses it.
func (s *scheduler) admit(now time.Time, slot *Slot) *RefusalError {
	s.accumulateTime(now)
	slot.arrivedAt = now
	r := slot.request.Rank
	wait := s.policy.Wait(&s.view, r)
	reason, ok := s.refusalReason(now, slot, wait)
	if !ok {
		return s.refuse(now, slot, reason, now.Add(max(wait, minRetryDelay)))
	}
	s.arrivals++
	slot.arrivalNumber = s.arrivals
	s.lastActive[r] = now
	if slot.request.Exclusive {
		s.exclusive.fifo.push(slot)
	} else {
		s.queues[r].push(slot)
	}
	s.refreshView(now)
	return nil
}

// refusalReason returns why a request cannot be admitted; ok is true if it can be.
func (s *scheduler) refusalReason(now time.Time, slot *Slot, wait time.Duration) (reason Reason, ok bool) {
	r := slot.request.Rank
	switch {
	case s.closed:
		return Closed, false
	case s.draining:
		return Draining, false
	case s.queues[r].length+s.exclusive.waitingCount(r) >= s.rankLimits[r].Queue && !s.canStartNow(r):
		return QueueFull, false
	case s.missesDeadline(now.Add(time.Duration(float64(wait)*waitMargin)), slot) && s.view.Slots > 0:
		return WaitTooLong, false
	}
	return 0, true
}

// canStartNow reports whether a request of the rank that arrives now would start without waiting.
func (s *scheduler) canStartNow(r rank.Rank) bool {
	return s.view.Waiting[r] == 0 && s.view.IdleSlots() > 0 && s.policy.Wait(&s.view, r) == 0 && s.exclusive.fifo.length == 0
}

// missesDeadline reports whether a request that starts at the given time is expected to miss its deadline.
// The mean service time is not taken into account for a request that need not wait: if a long mean
// led to the refusal of all requests, no new sample could shorten it again.
func (s *scheduler) missesDeadline(start time.Time, slot *Slot) bool {
	if start.After(slot.arrivedAt) {
		start = start.Add(requiredServiceTimes * s.meanServiceTime[slot.request.Rank].value)
	}
	return !slot.request.Deadline.IsZero() && start.After(slot.request.Deadline)
}

// refuse marks a request as refused and counts it; a retry time in the past becomes now.
func (s *scheduler) refuse(now time.Time, slot *Slot, reason Reason, retryAt time.Time) *RefusalError {
	r := slot.request.Rank
	if retryAt.Before(now) {
		retryAt = now
	}
	slot.phase = refused
	slot.refusal = &RefusalError{Rank: r, Reason: reason, EarliestRetry: retryAt}
	s.counters[r].Refused[reason]++
	return slot.refusal
}

// dispatch starts requests until neither the exclusive scheduler nor the policy allows another one.
func (s *scheduler) dispatch(now time.Time) {
	s.accumulateTime(now)
	for {
		if slot := s.exclusive.nextToStart(now, &s.view); slot != nil {
			s.exclusive.fifo.remove(slot)
			s.startOrExpire(now, slot)
			continue
		}
		view := s.exclusive.restrictView(&s.view)
		if view == nil {
			return
		}
		r, ok := s.policy.Next(view)
		if !ok {
			return
		}
		slot := s.queues[r].head
		s.queues[r].remove(slot)
		s.startOrExpire(now, slot)
	}
}

// startOrExpire starts a request that was removed from its queue, or refuses it if it is expected to miss
// its deadline.
func (s *scheduler) startOrExpire(now time.Time, slot *Slot) {
	r := slot.request.Rank
	if s.missesDeadline(now, slot) {
		s.refuse(now, slot, Expired, now.Add(minRetryDelay))
	} else {
		slot.phase = running
		s.view.Running[r]++
		s.counters[r].Started++
		s.counters[r].Waited += now.Sub(slot.arrivedAt)
		s.exclusive.markStarted(now, slot)
	}
	s.refreshView(now)
	slot.notify()
}

// finish frees the slot of a running request and adds its service time, if any, to the mean.
func (s *scheduler) finish(now time.Time, slot *Slot, serviceTime time.Duration) {
	if slot.phase != running {
		return
	}
	s.accumulateTime(now)
	r := slot.request.Rank
	slot.phase = done
	s.view.Running[r]--
	s.lastActive[r] = now
	s.counters[r].Finished++
	s.counters[r].Busy += serviceTime
	if serviceTime > 0 {
		s.meanServiceTime[r].add(serviceTime)
	}
	s.exclusive.markFinished(now, slot)
	s.refreshView(now)
}

// abandon removes a request whose context has ended and frees its slot if it had got one.
func (s *scheduler) abandon(now time.Time, slot *Slot) {
	r := slot.request.Rank
	switch slot.phase {
	case waiting:
		s.accumulateTime(now)
		s.removeWaiting(slot)
		slot.phase = done
		s.refreshView(now)
	case running:
		s.finish(now, slot, 0)
	default:
		return
	}
	s.counters[r].Abandoned++
}

// refuseOverdue refuses requests at the head of each queue that are expected to miss their deadline.
func (s *scheduler) refuseOverdue(now time.Time) {
	s.accumulateTime(now)
	for _, l := range [...]*fifo{&s.queues[rank.Confirmation], &s.queues[rank.Lookup], &s.queues[rank.Upload], &s.exclusive.fifo} {
		for l.head != nil && s.missesDeadline(now, l.head) {
			slot := l.head
			l.remove(slot)
			s.refuse(now, slot, Expired, now.Add(minRetryDelay))
			slot.notify()
		}
	}
	s.refreshView(now)
}

// close refuses all waiting requests and all later ones.
func (s *scheduler) close(now time.Time) {
	s.closed = true
	for _, l := range [...]*fifo{&s.queues[rank.Confirmation], &s.queues[rank.Lookup], &s.queues[rank.Upload], &s.exclusive.fifo} {
		for l.head != nil {
			slot := l.head
			l.remove(slot)
			s.refuse(now, slot, Closed, now)
			slot.notify()
		}
	}
	s.refreshView(now)
}

// removeWaiting removes a waiting request from its queue.
func (s *scheduler) removeWaiting(slot *Slot) {
	if slot.request.Exclusive {
		s.exclusive.fifo.remove(slot)
		return
	}
	s.queues[slot.request.Rank].remove(slot)
}

// isIdle reports whether no request waits or runs.
func (s *scheduler) isIdle() bool {
	for r, l := range s.queues {
		if l.length > 0 || s.view.Running[r] > 0 {
			return false
		}
	}
	return s.exclusive.fifo.length == 0
}

// accumulateTime adds the slot time since the last call to the deficits and the reserve. A rank gains at
// the rate of its floor and loses the slot time that it uses while other ranks wait.
func (s *scheduler) accumulateTime(now time.Time) {
	elapsed := now.Sub(s.accumulatedUntil).Seconds()
	if elapsed > 0 {
		s.accumulatedUntil = now
		s.uploadReserve.accumulateTime(&s.view, elapsed)
		s.view.ReservedSlots = s.uploadReserve.reservedSlots()
		allWaiting := 0
		for _, w := range s.view.Waiting {
			allWaiting += w
		}
		for r := range s.view.Deficit {
			rate := s.view.Floor[r]
			if allWaiting > s.view.Waiting[r] {
				rate -= float64(s.view.Running[r])
			}
			limit := s.view.Floor[r] * deficitWindow.Seconds()
			s.view.Deficit[r] = min(max(s.view.Deficit[r]+rate*elapsed, -limit), limit)
		}
	}
	s.refreshView(now)
}

// refreshView copies the state of queues and means to the view. A rank without waiting requests is short
// of nothing, so its deficit cannot be positive.
func (s *scheduler) refreshView(now time.Time) {
	for r := range s.queues {
		v, l := &s.view, &s.queues[r]
		v.Waiting[r] = l.length
		v.Mean[r] = s.meanServiceTime[r].value
		v.RecentlyActive[r] = l.length > 0 || v.Running[r] > 0 || !s.lastActive[r].IsZero() && now.Sub(s.lastActive[r]) < activityWindow
		if l.head != nil {
			v.OldestArrival[r] = l.head.arrivalNumber
		} else {
			v.Deficit[r] = min(v.Deficit[r], 0)
		}
	}
}

// state returns a snapshot for dumps and metrics.
func (s *scheduler) state(now time.Time) State {
	s.accumulateTime(now)
	out := State{Slots: s.view.Slots, Running: s.view.Slots - s.view.IdleSlots(), Draining: s.draining, Closed: s.closed, Exclusive: s.exclusive.fifo.length}
	for r := range rank.Rank(rank.Count) {
		out.Ranks[r] = RankState{
			Rank:     r.String(),
			Waiting:  s.view.Waiting[r],
			Running:  s.view.Running[r],
			Line:     s.rankLimits[r].Queue,
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
