package controller

import (
	"maps"
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	// memberCount is the wanted number of succession members.
	memberCount = 3
	// firstTerm is the term of a pair's first record.
	firstTerm = 1
	// termsPerReset keeps the terms after a reset above every term that members may have reached without the platform.
	termsPerReset = 1 << 16
)

// Adopt takes a record that was seen on the platform or sent by a peer; older records are ignored.
func (c *Controller) Adopt(now time.Time, s control.Succession) {
	if s.Pair != c.pair || s.Version <= c.record.known.Version {
		return
	}
	reset := s.Founded != c.record.known.Founded
	c.record.adopt(now, s)
	maps.DeleteFunc(c.members, func(k id, _ *member) bool {
		return !slices.ContainsFunc(c.others(), func(m control.Member) bool { return idOf(m) == k })
	})
	c.highest = max(c.highest, s.Term)
	if c.role != supporting && (reset || s.Term > c.term) {
		c.stepDown()
	}
	c.examineMembers(now)
	if c.role == supporting {
		c.schedule(now)
	}
}

// SuccessionLoaded takes the result of LoadSuccession; found is false if the platform has no record.
func (c *Controller) SuccessionLoaded(now time.Time, s control.Succession, found, ok bool) {
	c.record.loading = false
	if !ok {
		c.record.retry = now.Add(retryInterval)
		return
	}
	c.tables.platformUp()
	c.record.absent = !found
	if found {
		c.Adopt(now, s)
	}
	c.Tick(now)
}

// SuccessionStored takes the result of StoreSuccession.
func (c *Controller) SuccessionStored(now time.Time, version int64, result Result) {
	c.record.inFlight = false
	pending := c.record.pending
	switch result {
	case Stored:
		c.tables.platformUp()
		if pending != nil {
			s := *pending
			s.Version = version
			c.Adopt(now, s)
		}
	case Conflict:
		c.tables.platformUp()
		c.record.loading = true
		c.emit(Effect{Kind: LoadSuccession})
	case Unknown:
		c.record.retry = now.Add(retryInterval)
	}
	c.Tick(now)
}

// loadRecord reads the record if none is known.
func (c *Controller) loadRecord(now time.Time) {
	r := &c.record
	if r.known.Version > 0 || r.absent || r.loading || now.Before(r.retry) {
		return
	}
	r.loading = true
	c.emit(Effect{Kind: LoadSuccession})
}

// examineRecord writes the record where it must be created, reset or changed.
func (c *Controller) examineRecord(now time.Time) {
	r := &c.record
	if r.inFlight || r.pending != nil || r.loading || now.Before(r.retry) || c.resigned {
		return
	}
	switch {
	case r.known.Version == 0:
		if r.absent && c.self.DataCentre == c.pair.DataCentre && len(c.live) > 0 {
			c.write(control.Succession{Term: firstTerm, Founded: firstTerm, Members: c.ranked(c.self)})
		}
	case c.mayReset():
		term := (max(r.known.Term, c.highest)/termsPerReset + 1) * termsPerReset
		c.write(control.Succession{Term: term, Founded: term, Members: c.ranked(c.self)})
	case c.role == controlling && now.Before(c.authority(now)):
		c.change()
	}
}

// mayReset reports whether no set of members can decide any more.
func (c *Controller) mayReset() bool {
	r := &c.record
	// Members elsewhere may be the only ones that know a change to be settled.
	if len(c.live) == 0 || c.self.DataCentre != c.pair.DataCentre && !r.lists(c.self) {
		return false
	}
	if !c.lost(r.known.Members) {
		return false
	}
	return r.settled || c.lost(r.known.Former)
}

// change writes a record for a new term or with one member replaced.
func (c *Controller) change() {
	r := &c.record
	s := r.known
	s.Term = c.term
	if !r.settled {
		if !r.void {
			if r.known.Term != c.term {
				s.Members = first(s.Members, c.self)
				c.write(s)
			}
			return
		}
		s.Members = r.known.Former
	}
	s.Former = nil
	s.Members = first(s.Members, c.self)
	if next := c.replaceOne(s.Members); !sameSet(next, s.Members) {
		s.Former, s.Members = r.current(), next
		c.write(s)
		return
	}
	if r.known.Term != c.term || r.void {
		if r.void {
			s.Former = r.current()
		}
		c.write(s)
	}
}

// write issues a conditional write and keeps it until its outcome is known.
func (c *Controller) write(s control.Succession) {
	s.Pair = c.pair
	s.Version = 0
	c.record.pending = &s
	c.record.expected = c.record.known.Version
	c.issueWrite()
}

func (c *Controller) issueWrite() {
	c.record.inFlight = true
	c.emit(Effect{Kind: StoreSuccession, Succession: c.record.pending, Expected: c.record.expected})
}

// retryWrite repeats a write whose answer was lost, with or without authority:
// it may still take effect in any case, and its condition lets it do so only once.
func (c *Controller) retryWrite(now time.Time) {
	r := &c.record
	if r.pending == nil || r.inFlight || r.loading || now.Before(r.retry) {
		return
	}
	c.issueWrite()
}

// examineSettlement notes that a majority of the former members has acknowledged the record.
func (c *Controller) examineSettlement() {
	r := &c.record
	if r.settled || r.void || r.pending != nil || r.known.Term != c.term {
		return
	}
	if majority(r.known.Former, func(m control.Member) bool {
		return m.Same(c.self) || c.memberOf(m).acknowledged >= r.known.Version
	}) {
		r.settled = true
	}
}
