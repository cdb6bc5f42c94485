package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// exclusive lets requests run with nothing else in flight.
//
// Uploads are held back first, because they take long, and everything else only when no upload
// runs any more. After each exclusive request the others have the server for at least as long as
// they were held back, so that suspects take at most half of its time.
type exclusive struct {
	line line
	// since is when requests began to be held back, zero if none are.
	since time.Time
	// resume is when the next exclusive request may hold others back.
	resume  time.Time
	current *Slot
}

// waiting returns the number of exclusive requests of a rank.
func (e *exclusive) waiting(r rank.Rank) int {
	n := 0
	for s := e.line.head; s != nil; s = s.next {
		if s.request.Rank == r {
			n++
		}
	}
	return n
}

// next returns the exclusive request that starts now, or nil.
func (e *exclusive) next(now time.Time, v *View) *Slot {
	if e.line.head == nil || e.current != nil {
		if e.current == nil {
			e.end(now)
		}
		return nil
	}
	idle := v.Free() == v.Slots
	if e.since.IsZero() && (!now.Before(e.resume) || idle && v.Waiting == [rank.Count]int{}) {
		e.since = now
	}
	if e.since.IsZero() || !idle || v.Slots == 0 {
		return nil
	}
	return e.line.head
}

// restrict returns the view with the lines that are held back emptied, or nil if all are.
func (e *exclusive) restrict(v *View) *View {
	if e.current == nil && e.since.IsZero() {
		return v
	}
	if e.current != nil || v.Running[rank.Upload] == 0 {
		return nil
	}
	held := *v
	held.Waiting[rank.Upload] = 0
	return &held
}

// started notes that a request has its slot.
func (e *exclusive) started(now time.Time, s *Slot) {
	if s.request.Exclusive {
		e.current = s
		if e.since.IsZero() {
			e.since = now
		}
	}
}

// finished notes that a request gave its slot back.
func (e *exclusive) finished(now time.Time, s *Slot) {
	if e.current == s {
		e.current = nil
		e.end(now)
	}
}

// end stops holding requests back and grants the others the same time.
func (e *exclusive) end(now time.Time) {
	if e.since.IsZero() {
		return
	}
	e.resume = now.Add(now.Sub(e.since))
	e.since = time.Time{}
}
