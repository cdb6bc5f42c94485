package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// exclusiveScheduler runs requests while nothing else is in flight at the backend server.
//
// Before an exclusive request starts, other requests are blocked: uploads first, because they take
// long, and all others only when no upload runs any more. After each exclusive request the others
// may use the server for at least as long as they were blocked, so that exclusive requests take at
// most half of its time.
type exclusiveScheduler struct {
	fifo fifo
	// blockingSince is when other requests began to be blocked, zero if none are.
	blockingSince time.Time
	// blockAllowedAt is the earliest time at which the next exclusive request may block others, unless
	// the server is idle and no other request waits.
	blockAllowedAt time.Time
	active         *Slot
}

// waitingCount returns the number of waiting exclusive requests of a rank.
func (e *exclusiveScheduler) waitingCount(r rank.Rank) int {
	n := 0
	for s := e.fifo.head; s != nil; s = s.next {
		if s.request.Rank == r {
			n++
		}
	}
	return n
}

// nextToStart returns the exclusive request that starts now, or nil. It begins to block other requests
// when an exclusive one waits and stops when none is left.
func (e *exclusiveScheduler) nextToStart(now time.Time, v *PolicyView) *Slot {
	if e.fifo.head == nil || e.active != nil {
		if e.active == nil {
			e.stopBlocking(now)
		}
		return nil
	}
	idle := v.IdleSlots() == v.Slots
	if e.blockingSince.IsZero() && (!now.Before(e.blockAllowedAt) || idle && v.Waiting == [rank.Count]int{}) {
		e.blockingSince = now
	}
	if e.blockingSince.IsZero() || !idle || v.Slots == 0 {
		return nil
	}
	return e.fifo.head
}

// restrictView returns the view without the waiting requests that are blocked, or nil if all are blocked.
func (e *exclusiveScheduler) restrictView(v *PolicyView) *PolicyView {
	if e.active == nil && e.blockingSince.IsZero() {
		return v
	}
	if e.active != nil || v.Running[rank.Upload] == 0 {
		return nil
	}
	restricted := *v
	restricted.Waiting[rank.Upload] = 0
	return &restricted
}

// markStarted records that a request has got its slot.
func (e *exclusiveScheduler) markStarted(now time.Time, s *Slot) {
	if s.request.Exclusive {
		e.active = s
		if e.blockingSince.IsZero() {
			e.blockingSince = now
		}
	}
}

// markFinished records that a request has released its slot.
func (e *exclusiveScheduler) markFinished(now time.Time, s *Slot) {
	if e.active == s {
		e.active = nil
		e.stopBlocking(now)
	}
}

// stopBlocking ends the blocking of other requests and lets them run for at least as long as they were blocked.
func (e *exclusiveScheduler) stopBlocking(now time.Time) {
	if e.blockingSince.IsZero() {
		return
	}
	e.blockAllowedAt = now.Add(now.Sub(e.blockingSince))
	e.blockingSince = time.Time{}
}
