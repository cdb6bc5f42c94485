// Package election decides which process is the coordinator, by a lock object in the store.
//
// The holder writes the lock twice a second. Other processes hear from the holder in the
// answers to their reports and read the lock only when these fail to come. A lock that does
// not change for a while is taken over with a higher term; the write is conditional, so one
// candidate wins. No agreement between the processes is needed, and a process that is cut off
// from the holder but not from the store sees that the lock changes and leaves it alone.
//
// Taking over early does no harm: what the former holder may still send is refused by the
// servers; see package coordinator.
//
// # Usage
//
//	e := election.New(self, now, jitter)
//	switch e.Next(now) {
//	case election.Read:
//		// Read the lock, then e.Observe(now, lock, revision) or e.Missing(now).
//	case election.Write:
//		lock, revision := e.Proposal(now)
//		// Write it, then e.Stored(now, lock, revision) or e.Conflict(now).
//	}
package election

import "time"

const (
	// beatInterval is the time between two writes of the holder.
	beatInterval = 500 * time.Millisecond
	// silence is the time without a sign of life of the holder after which the lock is read; it
	// gives one each 250 ms.
	silence = 700 * time.Millisecond
	// readInterval is the time between two reads while the holder is silent.
	readInterval = 300 * time.Millisecond
	// stale is the time without a change after which the lock is taken: two beats and a slow answer
	// of the store.
	stale = 1200 * time.Millisecond
	// writeRetry is the time between two writes that fail.
	writeRetry = 200 * time.Millisecond
)

// Election is the state of one process. It is not safe for concurrent use.
type Election struct {
	self   Member
	jitter time.Duration
	// takeoverDelay is how much later than others the process takes a free lock.
	takeoverDelay time.Duration

	known    bool
	lock     Lock
	revision uint64
	// seen is when the present revision was first read.
	seen time.Time
	// heard is the last sign of life of the holder.
	heard    time.Time
	nextRead time.Time

	// holding is true while the process is the coordinator of the term.
	holding   bool
	term      uint64
	nextWrite time.Time
	// confirmed is when the latest successful write of the holder was sent.
	confirmed time.Time
	// read is when the store last told the lock.
	read     time.Time
	resigned bool
}

// New returns the state of a process that has read nothing yet. Jitter spreads the candidates.
func New(self Member, now time.Time, jitter time.Duration) *Election {
	return &Election{self: self, jitter: jitter, nextRead: now}
}

// SetTakeoverDelay sets how much later than others the process takes a lock that is free or whose
// holder is lost, so that a VM with more room gets it first.
func (e *Election) SetTakeoverDelay(d time.Duration) { e.takeoverDelay = d }

// Next returns what is due.
func (e *Election) Next(now time.Time) Action {
	switch {
	case e.resigned:
		return Wait
	case e.holding && e.known || e.mayTake(now):
		if now.Before(e.nextWrite) {
			return Wait
		}
		return Write
	case now.Before(e.nextRead) || !e.holding && e.known && now.Sub(e.heard) < silence && e.lock.Holder.Name != "":
		return Wait
	}
	e.nextRead = now.Add(readInterval)
	return Read
}

// mayTake reports whether the lock is free or its holder counts as lost.
func (e *Election) mayTake(now time.Time) bool {
	if !e.known {
		return false
	}
	holder := e.lock.Holder
	if holder.Name == "" || holder.Name == e.self.Name {
		return now.Sub(e.seen) >= e.jitter+e.takeoverDelay || holder.Name == e.self.Name
	}
	if now.Sub(e.heard) < silence {
		return false
	}
	// The latest read must have been recent: without it the store may be unreachable.
	return now.Sub(e.seen) >= stale+e.jitter+e.takeoverDelay && now.Sub(e.read) < readInterval+stale/2
}

// Observe takes a lock that was read.
func (e *Election) Observe(now time.Time, l Lock, revision uint64) {
	e.read = now
	if !e.known || revision != e.revision {
		if !e.known || l.Holder != e.lock.Holder {
			e.heard = now
		}
		e.known, e.lock, e.revision, e.seen = true, l, revision, now
	}
	e.holding = e.holding && l.Holder == e.self && l.Term == e.term
	if e.holding {
		e.confirmed = now
	}
}

// Missing notes that the store has no lock yet.
func (e *Election) Missing(now time.Time) {
	if !e.known {
		e.known, e.seen, e.lock, e.revision = true, now, Lock{}, 0
	}
	e.read = now
}

// Proposal returns the lock that is to be written, and the revision that the store must have.
func (e *Election) Proposal(now time.Time) (Lock, uint64) {
	e.nextWrite = now.Add(writeRetry)
	l := e.lock
	if e.holding {
		l.Beat++
		return l, e.revision
	}
	return Lock{Term: l.Term + 1, Holder: e.self}, e.revision
}

// Stored notes that the store has taken a lock, which was sent at a time.
func (e *Election) Stored(sent time.Time, l Lock, revision uint64) {
	e.lock, e.revision, e.seen, e.known = l, revision, sent, true
	e.holding, e.term = l.Holder == e.self, l.Term
	e.confirmed, e.read = sent, sent
	e.nextWrite = sent.Add(beatInterval)
}

// Conflict notes that the store has another lock. It must be read before anything else: it may
// be the process's own write, whose answer was lost.
func (e *Election) Conflict(now time.Time) {
	e.known = false
	e.nextRead = now
}

// Invalidate notes that time has passed unnoticed: the process may no longer be the coordinator.
func (e *Election) Invalidate(now time.Time) {
	if !e.holding {
		return
	}
	e.confirmed = time.Time{}
	e.Conflict(now)
}

// Yield gives up the role to the coordinator of a higher term. It reports false if the process
// is the coordinator of that term or a later one.
func (e *Election) Yield(now time.Time, term uint64) bool {
	if e.holding && e.term >= term {
		return false
	}
	if e.holding {
		e.holding = false
		e.Conflict(now)
	}
	return true
}

// Hear notes a sign of life of the holder of a term.
func (e *Election) Hear(now time.Time, term uint64) {
	if term >= e.lock.Term {
		e.heard = now
	}
}

// Holding reports whether the process is the coordinator, and of which term.
func (e *Election) Holding() (uint64, bool) { return e.term, e.holding }

// Confirmed returns when the process last knew for certain that it was the coordinator.
func (e *Election) Confirmed() time.Time { return e.confirmed }

// Holder returns the coordinator as far as it is known.
func (e *Election) Holder() (Member, bool) {
	return e.lock.Holder, e.known && e.lock.Holder.Name != ""
}

// Former returns the holder before the process takes over.
func (e *Election) Former() Member { return e.lock.Holder }

// Resign returns the lock that gives the role back; false if the process does not have it. The
// process keeps the role until Resigned.
func (e *Election) Resign() (Lock, uint64, bool) {
	if !e.holding || !e.known {
		e.resigned = !e.holding
		return Lock{}, 0, false
	}
	e.resigned = true
	return Lock{Term: e.lock.Term, Beat: e.lock.Beat + 1}, e.revision, true
}

// Resigned notes whether the store has taken the lock that gives the role back.
func (e *Election) Resigned(taken bool) {
	e.resigned = taken
	e.holding = e.holding && !taken
}
