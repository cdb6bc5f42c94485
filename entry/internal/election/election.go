// Package election elects the coordinator among the entry processes, by a lock object in the
// store.
//
// The holder writes the lock twice a second. The other processes learn that the holder is alive
// from the responses to their reports, and read the lock only when these responses stop. A lock that
// does not change for a while is taken over with a higher term. The write is conditional, so one
// candidate wins. The processes need no agreement among themselves. A process that is cut off
// from the holder but not from the store sees that the lock changes, and does not take it.
//
// An early takeover does no harm: servers refuse what the former holder may still send; see
// package coordinator.
//
// A holder that is replaced may act on its role for a while longer: it can't reach the store, or the
// answer to its write was lost. The lock names all such past holders, with the time since each can have
// confirmed its role. Whoever writes the lock passes them on, and leaves out those that have said that
// they have stopped, that have ended or whose time is over. Each write replaces the revision that its
// writer has read, so no change of the holder loses a name. An age in the lock counts from the write,
// and a reader, which knows only when it has read it, takes the holder to have confirmed its role later
// than it did, never earlier.
//
// A store that is restored from a copy begins a new era and may have lost the latest locks. The lock
// therefore names the era in which it was written. A lock of an earlier era gives nobody the role in
// its term: it is replaced with a term above all those that the store can have lost, once the latest
// holder of the earlier era can no longer act as the only one. Until then, a process that was the
// holder keeps its role without confirmation, so that it renews grants.
//
// # Usage
//
//	e := election.New(self, now, jitter)
//	switch e.NextAction(now) {
//	case election.ReadLock:
//		// Read the lock, then e.ObserveLock(now, lock, revision) or e.ObserveMissingLock(now).
//	case election.WriteLock:
//		lock, revision := e.ProposeLock(now)
//		// Write it, then e.HandleStored(now, lock, revision) or e.HandleConflict(now).
//	}
package election

import (
	"slices"
	"time"

	"bramleystand.org/common/revision"
)

const (
	// heartbeatInterval is the time between two writes of the lock by its holder.
	heartbeatInterval = 500 * time.Millisecond
	// holderTimeout is the time without a sign of life from the holder after which the lock is
	// read. The holder sends one every 250 ms.
	holderTimeout = 700 * time.Millisecond
	// readInterval is the time between two reads of the lock while the holder is silent.
	readInterval = 300 * time.Millisecond
	// staleLockTimeout is the time without a change after which the lock is taken over: two
	// heartbeats and a slow response of the store.
	staleLockTimeout = 1200 * time.Millisecond
	// writeRetryInterval is the time before a failed write is tried again.
	writeRetryInterval = 200 * time.Millisecond
	// restoredLockDelay is how much later than a process that was the holder others take a restored
	// lock: the holder may notice the new era by its next write only.
	restoredLockDelay = 2 * writeRetryInterval
	// termsPerEra is by how much the term rises for each era since the lock was written. It is far
	// above the number of terms that a store can lose by one restore.
	termsPerEra = 1 << 12
)

// Election is one process's state in the election. It is not safe for concurrent use.
type Election struct {
	self   Member
	jitter time.Duration
	// takeoverDelay is how much later than other processes this one takes a free lock.
	takeoverDelay time.Duration
	// readDelay is how much later than other processes this one reads the lock of a silent holder.
	readDelay time.Duration

	lockKnown bool
	lock      Lock
	revision  uint64
	// revisionSeen is when the present revision was first read.
	revisionSeen time.Time
	// lastHeard is the time of the last sign of life from the holder.
	lastHeard time.Time
	nextRead  time.Time
	// stated is the holder's latest successful write of the lock, as it has said itself.
	stated Write

	// holding is true while the process is the coordinator of the term.
	holding   bool
	term      uint64
	nextWrite time.Time
	// past are the earlier holders that may still act on their role, while this process is the holder. It does not
	// come from the known lock, because a restored store may have an earlier one.
	past []PastHolder
	// lastConfirmed is when the holder's latest successful write was sent.
	lastConfirmed time.Time
	// confirmedHeartbeat is the heartbeat of that write.
	confirmedHeartbeat uint64
	// lastRead is when the store last returned or accepted the lock.
	lastRead time.Time
	// doubted is true if the lock must be read although the holder has shown a sign of life.
	doubted  bool
	resigned bool
	// successorTerm is the highest term whose holder this process has told that it has stopped.
	successorTerm uint64
	// resignationSent is true from a write that gives up the role until the holder has written the lock again.
	resignationSent bool
	// era is the latest known era of the store, and eraSeen is when the lock was first read in it.
	era     uint64
	eraSeen time.Time
	// settled is the latest era before which all grants are known to have expired.
	settled uint64
}

// New returns the state of a process that has not read the lock yet. Jitter keeps candidates from
// taking a lock at the same time.
func New(self Member, now time.Time, jitter time.Duration) *Election {
	return &Election{self: self, jitter: jitter, nextRead: now}
}

// SetTakeoverDelay sets how much later than other processes this one takes a lock that is free or
// whose holder is lost, so that a VM with more capacity gets it first.
func (e *Election) SetTakeoverDelay(d time.Duration) { e.takeoverDelay = d }

// SetReadDelay sets how much later than other processes this one reads the lock of a silent holder, so that
// hundreds of processes that will not take it don't read it at once.
func (e *Election) SetReadDelay(d time.Duration) { e.readDelay = d }

// Write is a successful write of the lock.
type Write struct {
	Term      uint64
	Heartbeat uint64
	// SentAt is when the holder has sent it.
	SentAt time.Time
}

// LatestWrite returns the latest successful write of this process while it is the holder.
func (e *Election) LatestWrite() Write {
	return Write{Term: e.term, Heartbeat: e.confirmedHeartbeat, SentAt: e.lastConfirmed}
}

// RecordHolderWrite records what the holder says of its latest write. A lock that the holder has not written for
// long can be taken as soon as it is read, whether the holder is lost or only can't reach the store.
func (e *Election) RecordHolderWrite(w Write) {
	if w.Term > e.stated.Term || w.Term == e.stated.Term && w.Heartbeat >= e.stated.Heartbeat {
		e.stated = w
	}
}

// isOverdue reports whether the holder, by its own words, has not written the lock for so long that this
// process may take it.
func (e *Election) isOverdue(now time.Time) bool {
	return e.lockKnown && !e.isRestored() && e.stated.Term == e.lock.Term &&
		now.Sub(e.stated.SentAt) >= staleLockTimeout+e.jitter+e.takeoverDelay+e.readDelay
}

// mayTakeOverdue reports whether the latest read of the lock confirms that it is overdue: it was made after the
// lock had become so, and shows no later write than the holder has stated.
func (e *Election) mayTakeOverdue(now time.Time) bool {
	return e.isOverdue(now) && e.lock.Heartbeat <= e.stated.Heartbeat && e.lastRead.Sub(e.stated.SentAt) >= staleLockTimeout && now.Sub(e.lastRead) < readInterval
}

// NextAction returns the action that is due.
func (e *Election) NextAction(now time.Time) Action {
	switch {
	case e.resigned:
		return NoAction
	case e.mayWrite(now):
		if now.Before(e.nextWrite) {
			return NoAction
		}
		return WriteLock
	case now.Before(e.nextRead) || !e.holding && e.lockKnown && !e.doubted && now.Sub(e.lastHeard) < holderTimeout+e.readDelay && e.lock.Holder.Name != "" && !e.isOverdue(now):
		return NoAction
	}
	e.nextRead = now.Add(readInterval + e.readDelay)
	return ReadLock
}

// mayWrite reports whether the process may write the known lock: it is the holder, or may take it.
func (e *Election) mayWrite(now time.Time) bool {
	if e.isRestored() {
		return e.mayReplaceRestored(now)
	}
	return e.holding && e.lockKnown || e.mayTakeLock(now)
}

// isRestored reports whether the known lock was written in an earlier era than that of the store, or is
// missing although the process has the role.
func (e *Election) isRestored() bool {
	return e.lockKnown && (e.lock.era() < eraOf(e.revision) || e.holding && e.revision == 0)
}

// mayReplaceRestored reports whether the process may take a restored lock. The store can have lost the
// lock of another process, which acts as the only holder for less than staleLockTimeout after its
// latest write, and thus after the restore. Nobody can have taken the lock of a holder that has
// written it later than that, unless it has tried to give up the role since.
func (e *Election) mayReplaceRestored(now time.Time) bool {
	wait := staleLockTimeout
	if e.holding {
		return now.Sub(e.Confirmed()) < wait || now.Sub(e.eraSeen) >= wait
	}
	if now.Sub(e.lastHeard) < holderTimeout || now.Sub(e.lastRead) >= readInterval+e.readDelay+staleLockTimeout/2 {
		return false
	}
	return now.Sub(e.eraSeen) >= wait+restoredLockDelay+e.jitter+e.takeoverDelay
}

// eraOf returns the era of a revision.
func eraOf(r uint64) uint64 { return max(revision.Revision(r).Era(), revision.FirstEra) }

// mayTakeLock reports whether the process may take the lock: the lock is free, the process's own,
// or its holder counts as lost.
func (e *Election) mayTakeLock(now time.Time) bool {
	if !e.lockKnown {
		return false
	}
	holder := e.lock.Holder
	if holder.Name == "" || holder.Name == e.self.Name {
		return now.Sub(e.revisionSeen) >= e.jitter+e.takeoverDelay || holder.Name == e.self.Name
	}
	if e.mayTakeOverdue(now) {
		return true
	}
	if now.Sub(e.lastHeard) < holderTimeout {
		return false
	}
	// The latest read must be recent, because otherwise the store may be unreachable.
	return now.Sub(e.revisionSeen) >= staleLockTimeout+e.jitter+e.takeoverDelay && now.Sub(e.lastRead) < readInterval+e.readDelay+staleLockTimeout/2
}

// ObserveLock processes a lock that was read from the store.
func (e *Election) ObserveLock(now time.Time, l Lock, revision uint64) {
	e.lastRead, e.doubted = now, false
	if era := eraOf(revision); era > e.era {
		e.era, e.eraSeen = era, now
	}
	if l.Settled {
		e.Settle(l.era())
	}
	if !e.lockKnown || revision != e.revision {
		if !e.lockKnown || l.Holder != e.lock.Holder {
			e.lastHeard = now
		}
		e.lockKnown, e.lock, e.revision, e.revisionSeen = true, l, revision, now
	}
	if !e.isRestored() {
		e.holding = e.holding && l.Holder == e.self && l.Term == e.term
	}
}

// ObserveMissingLock records that the store has no lock yet.
func (e *Election) ObserveMissingLock(now time.Time) {
	if !e.lockKnown {
		e.lockKnown, e.revisionSeen, e.lock, e.revision = true, now, Lock{}, 0
	}
	e.lastRead, e.doubted = now, false
}

// DoubtHolder makes a process that does not have the role read the lock, although the holder has shown a
// sign of life: the holder may have given up the role since.
func (e *Election) DoubtHolder() { e.doubted = !e.holding }

// ProposeLock returns the lock to be written, and the revision that the store must have.
func (e *Election) ProposeLock(now time.Time) (Lock, uint64) {
	e.nextWrite = now.Add(writeRetryInterval)
	l := e.lock
	if e.holding && !e.isRestored() {
		l.Heartbeat++
		l.Settled, l.PastHolders = e.settled >= l.era(), e.past
		return l, e.revision
	}
	era := max(e.era, revision.FirstEra)
	lowest := l.Term + (era-min(l.era(), era))*termsPerEra
	return Lock{
		Term: max(lowest, e.term) + 1, Holder: e.self, PastHolders: e.lock.pastHoldersAfter(e.self.Name, e.revisionSeen),
		Era: era, Settled: e.settled >= era,
	}, e.revision
}

// HandleStored records that the store has accepted a lock; sent is when it was sent. A lock that was
// accepted in a later era than its own must be read again: it gives no role, and its condition may have
// matched a revision that was assigned again. So must one whose holder has since told a successor that it has
// stopped.
func (e *Election) HandleStored(sent time.Time, l Lock, revision uint64) {
	if eraOf(revision) > l.era() || l.Holder == e.self && l.Term < e.successorTerm {
		e.HandleConflict(sent)
		return
	}
	if !e.holding || l.Term != e.term {
		e.past = l.PastHolders
	}
	e.resignationSent = false
	e.lock, e.revision, e.revisionSeen, e.lockKnown = l, revision, sent, true
	e.holding, e.term = l.Holder == e.self, l.Term
	e.lastConfirmed, e.lastRead = sent, sent
	e.confirmedHeartbeat = l.Heartbeat
	e.nextWrite = sent.Add(heartbeatInterval)
}

// HandleConflict records that the store has another lock. It must be read before anything else: it
// may be the process's own write, whose response was lost.
func (e *Election) HandleConflict(now time.Time) {
	e.lockKnown = false
	e.nextRead = now
}

// InvalidateRole makes the holder read the lock again, because time has passed unnoticed and the
// process may no longer be the coordinator.
func (e *Election) InvalidateRole(now time.Time) {
	if !e.holding {
		return
	}
	e.lastConfirmed = time.Time{}
	e.HandleConflict(now)
}

// StepDown gives up the role to the coordinator of a higher term. It returns false if the process is
// the coordinator of that term or a later one.
func (e *Election) StepDown(now time.Time, term uint64) bool {
	if e.holding && e.term >= term {
		return false
	}
	e.successorTerm = max(e.successorTerm, term)
	if e.holding {
		e.holding = false
		e.HandleConflict(now)
	}
	return true
}

// RecordHolderAlive records a sign of life from the holder of a term.
func (e *Election) RecordHolderAlive(now time.Time, term uint64) {
	if term >= e.lock.Term {
		e.lastHeard = now
	}
}

// HeldTerm returns the term and whether the process is its coordinator.
func (e *Election) HeldTerm() (uint64, bool) { return e.term, e.holding }

// Confirmed returns when the process last knew for certain that it was the coordinator. A read of the
// lock does not count, because another process may take the lock right after it. Once a write that gives up
// the role was sent, another process can take the lock at once, so the time is zero until the holder has written
// the lock again.
func (e *Election) Confirmed() time.Time {
	if e.resignationSent {
		return time.Time{}
	}
	return e.lastConfirmed
}

// Settle records that all grants of coordinators before an era have expired. The lock of that era tells
// later holders, which may have started since.
func (e *Election) Settle(era uint64) { e.settled = max(e.settled, era) }

// Holder returns the coordinator, or false if it is not known.
func (e *Election) Holder() (Member, bool) {
	return e.lock.Holder, e.lockKnown && e.lock.Holder.Name != ""
}

// KnownTerm returns the term of the last known lock.
func (e *Election) KnownTerm() uint64 { return e.lock.Term }

// FormerHolder returns the holder in the last known lock, or the one that has resigned, which this process
// replaces when it takes over.
func (e *Election) FormerHolder() Member { return e.lock.replaced() }

// PastHolders returns the earlier holders that may still act on their role, while this process is the holder.
func (e *Election) PastHolders() []PastHolder {
	if !e.holding {
		return nil
	}
	return e.past
}

// RemovePastHolder records that a past holder no longer acts on its role, because it has ended or said so. Later
// writes of the lock don't name it.
func (e *Election) RemovePastHolder(m Member) {
	e.removePastHolders(func(p PastHolder) bool { return p.Member == m })
}

// RemoveExpired removes the past holders that can't have confirmed their role since a time.
func (e *Election) RemoveExpired(since time.Time) {
	e.removePastHolders(func(p PastHolder) bool { return p.Confirmed.Before(since) })
}

func (e *Election) removePastHolders(remove func(PastHolder) bool) {
	e.past = slices.DeleteFunc(slices.Clone(e.past), remove)
}

// Resign returns the lock that gives up the role, or false if the process does not have the role.
// The process keeps the role until FinishResign.
func (e *Election) Resign() (Lock, uint64, bool) {
	if !e.holding || !e.lockKnown {
		e.resigned = !e.holding
		return Lock{}, 0, false
	}
	e.resigned, e.resignationSent = true, true
	return Lock{Term: e.lock.Term, Former: e.self, PastHolders: e.past, Heartbeat: e.lock.Heartbeat + 1, Era: e.lock.Era, Settled: e.lock.Settled}, e.revision, true
}

// RemainCandidate records that the store has accepted the lock that gives up the role, at a revision;
// sent is when it was sent. Unlike after FinishResign, the process takes the lock again if it stays free.
func (e *Election) RemainCandidate(sent time.Time, l Lock, revision uint64) {
	e.HandleStored(sent, l, revision)
	e.resigned, e.nextRead = false, sent
}

// FinishResign records whether the store has accepted the lock that gives up the role.
func (e *Election) FinishResign(stored bool) {
	e.resigned = stored
	e.holding = e.holding && !stored
}
