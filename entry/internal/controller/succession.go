package controller

import (
	"maps"
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	// memberCount is the intended number of succession members.
	memberCount = 3
	// firstTerm is the term of a pair's first succession record.
	firstTerm = 1
	// termsPerReset is the step by which a reset raises the term, so that terms after it are above every term that members
	// may have reached without the platform.
	termsPerReset = 1 << 16
)

// AdoptSuccession applies a succession record that was read from the platform or sent by a peer. It ignores all but
// newer records.
func (c *Controller) AdoptSuccession(now time.Time, s control.Succession) {
	if s.Pair != c.pair || s.Version <= c.record.known.Version {
		return
	}
	reset := s.Founded != c.record.known.Founded
	c.record.adopt(now, s)
	maps.DeleteFunc(c.members, func(k processID, _ *memberState) bool {
		return !slices.ContainsFunc(c.otherMembers(), func(m control.Member) bool { return processIDOf(m) == k })
	})
	c.highestTerm = max(c.highestTerm, s.Term)
	if c.role != roleMember && (reset || s.Term > c.term) {
		c.stepDown()
	}
	c.checkLostMajority(now)
	if c.role == roleMember {
		c.scheduleCandidacy(now)
	}
}

// SuccessionLoaded takes the result of LoadSuccession. ok is false if the call failed, found is false if the platform
// has no record.
func (c *Controller) SuccessionLoaded(now time.Time, s control.Succession, found, ok bool) {
	c.record.loading = false
	if !ok {
		c.record.retryAt = now.Add(retryInterval)
		return
	}
	c.tables.markPlatformUp()
	c.record.absent = !found
	if found {
		c.AdoptSuccession(now, s)
	}
	c.Tick(now)
}

// SuccessionStored takes the result of StoreSuccession.
func (c *Controller) SuccessionStored(now time.Time, version int64, result WriteResult) {
	c.record.inFlight = false
	pending := c.record.pending
	switch result {
	case WriteStored:
		c.tables.markPlatformUp()
		if pending != nil {
			s := *pending
			s.Version = version
			c.AdoptSuccession(now, s)
		}
	case WriteConflict:
		c.tables.markPlatformUp()
		c.record.loading = true
		c.emit(Effect{Kind: LoadSuccession})
	case WriteUnknown:
		c.record.retryAt = now.Add(retryInterval)
	}
	c.Tick(now)
}

// loadRecord requests the record from the platform if none is known.
func (c *Controller) loadRecord(now time.Time) {
	r := &c.record
	if r.known.Version > 0 || r.absent || r.loading || now.Before(r.retryAt) {
		return
	}
	r.loading = true
	c.emit(Effect{Kind: LoadSuccession})
}

// updateRecord writes the record if it must be created, reset or changed.
func (c *Controller) updateRecord(now time.Time) {
	r := &c.record
	if r.inFlight || r.pending != nil || r.loading || now.Before(r.retryAt) || c.resigned {
		return
	}
	switch {
	case r.known.Version == 0:
		if r.absent && c.self.DataCentre == c.pair.DataCentre && len(c.liveVMs) > 0 {
			c.writeRecord(control.Succession{Term: firstTerm, Founded: firstTerm, Members: c.preferredMembers(c.self)})
		}
	case c.canResetRecord():
		term := (max(r.known.Term, c.highestTerm)/termsPerReset + 1) * termsPerReset
		c.writeRecord(control.Succession{Term: term, Founded: term, Members: c.preferredMembers(c.self)})
	case c.role == roleController && now.Before(c.authority(now)):
		c.writeChangedRecord()
	}
}

// canResetRecord reports whether this process may reset the record because no set of members has a majority left.
func (c *Controller) canResetRecord() bool {
	r := &c.record
	// A process that the record doesn't list resets it only in the pair's own data centre. Listed members in other data
	// centres may reset it too: they may be the only ones that know that a change is settled.
	if len(c.liveVMs) == 0 || c.self.DataCentre != c.pair.DataCentre && !r.includes(c.self) {
		return false
	}
	if !c.lostMajority(r.known.Members) {
		return false
	}
	return r.settled || c.lostMajority(r.known.Former)
}

// writeChangedRecord writes a record for a new term or with one member replaced, if either is needed.
func (c *Controller) writeChangedRecord() {
	r := &c.record
	s := r.known
	s.Term = c.term
	if !r.settled {
		if !r.membersLost {
			if r.known.Term != c.term {
				s.Members = moveToFront(s.Members, c.self)
				c.writeRecord(s)
			}
			return
		}
		s.Members = r.known.Former
	}
	s.Former = nil
	s.Members = moveToFront(s.Members, c.self)
	if next := c.replaceOneMember(s.Members); !sameSet(next, s.Members) {
		s.Former, s.Members = r.currentMembers(), next
		c.writeRecord(s)
		return
	}
	if r.known.Term != c.term || r.membersLost {
		if r.membersLost {
			s.Former = r.currentMembers()
		}
		c.writeRecord(s)
	}
}

// writeRecord starts a conditional write and keeps it as pending until its outcome is known.
func (c *Controller) writeRecord(s control.Succession) {
	s.Pair = c.pair
	s.Version = 0
	c.record.pending = &s
	c.record.expectedVersion = c.record.known.Version
	c.emitRecordWrite()
}

func (c *Controller) emitRecordWrite() {
	c.record.inFlight = true
	c.emit(Effect{Kind: StoreSuccession, Succession: c.record.pending, ExpectedVersion: c.record.expectedVersion})
}

// retryRecordWrite repeats a write whose response was lost, with or without authority:
// the first attempt may still take effect, and the condition on the version lets only
// one of them do so.
func (c *Controller) retryRecordWrite(now time.Time) {
	r := &c.record
	if r.pending == nil || r.inFlight || r.loading || now.Before(r.retryAt) {
		return
	}
	c.emitRecordWrite()
}

// settleFromAcknowledgements marks the record as settled once a majority of the former members has acknowledged it.
func (c *Controller) settleFromAcknowledgements() {
	r := &c.record
	if r.settled || r.membersLost || r.pending != nil || r.known.Term != c.term {
		return
	}
	if isMajority(r.known.Former, func(m control.Member) bool {
		return m.Same(c.self) || c.memberOf(m).acknowledgedVersion >= r.known.Version
	}) {
		r.settled = true
	}
}
