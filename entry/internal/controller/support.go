package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// HandleSupport answers a candidate or controller that asks for support.
func (c *Controller) HandleSupport(now time.Time, q control.SupportRequest) control.SupportResponse {
	if q.Succession != nil {
		c.Adopt(now, *q.Succession)
	}
	c.settle(now, q)
	accepted := c.maySupport(now, q)
	p := control.SupportResponse{Pair: c.pair, Accepted: accepted, Record: c.record.known.Version, Member: c.self}
	if accepted {
		c.follow(now, q)
		if o := c.outstanding(now); o > 0 {
			p.Outstanding = o
		}
	}
	p.Rival = !accepted && c.role == campaigning
	c.highest = max(c.highest, q.Term)
	p.Term = c.vote.term
	p.Version = c.tables.newest.Version()
	if p.Version.Newer(q.Version) {
		p.Table = c.tables.newest
	}
	if p.Record > q.Record {
		known := c.record.known
		p.Succession = &known
	}
	return p
}

// maySupport applies the rules for support.
func (c *Controller) maySupport(now time.Time, q control.SupportRequest) bool {
	if q.Pair != c.pair || q.Record != c.record.known.Version || !c.record.lists(c.self) {
		return false
	}
	if q.Void && c.record.settled || c.record.founding() {
		return false
	}
	if q.Candidate.Same(c.self) || !c.vote.allows(now, q.Term, q.Candidate) {
		return false
	}
	switch c.role {
	case controlling:
		// Leases granted here must have expired, except after a resignation.
		return q.Term > c.term && (c.resigned || !now.Before(c.granted))
	case campaigning:
		// Of two rival candidates the one lower in the succession gives way.
		return q.Elected || c.record.index(q.Candidate) < c.record.index(c.self)
	default:
		return true
	}
}

// follow gives support to the sender of an acceptable request.
func (c *Controller) follow(now time.Time, q control.SupportRequest) {
	if c.role != supporting {
		c.stepDown()
	}
	c.vote.give(q.Term, q.Candidate, now.Add(promiseTime))
	if q.Table != nil {
		c.tables.keep(q.Table)
	}
	c.schedule(now)
}

// outstanding returns how long leases of controllers other than the one now supported may be in use.
func (c *Controller) outstanding(now time.Time) time.Duration {
	return later(later(c.vote.foreign, c.inherited), c.granted).Sub(now)
}

// ask sends a request for support to all other members.
func (c *Controller) ask(now time.Time) {
	for _, to := range c.others() {
		m := c.memberOf(to)
		q := &control.SupportRequest{
			Pair: c.pair, Term: c.term, Record: c.record.known.Version, Settled: c.record.settled, Void: c.record.void, Elected: c.role == controlling,
			Candidate: c.self, Version: c.tables.newest.Version(),
		}
		if m.record != q.Record {
			known := c.record.known
			q.Succession = &known
		}
		if q.Version.Newer(m.table) {
			q.Table = c.tables.newest
		}
		c.emit(Effect{Kind: SendSupport, To: to, Support: q, Sent: now})
	}
	interval := control.RenewInterval
	if c.role == campaigning {
		interval = campaignInterval
	}
	c.nextAsk = now.Add(interval)
}

// SupportAnswered takes the answer to a request that was sent at the given time.
func (c *Controller) SupportAnswered(now, sent time.Time, p control.SupportResponse) {
	if p.Pair != c.pair {
		return
	}
	if p.Succession != nil {
		c.Adopt(now, *p.Succession)
	}
	c.highest = max(c.highest, p.Term)
	if p.Table != nil && c.role != controlling {
		c.tables.keep(p.Table)
	}
	if c.role == supporting {
		return
	}
	m := c.memberOf(p.Member)
	m.record = max(m.record, p.Record)
	if p.Version.Newer(m.table) {
		m.table = p.Version
	}
	if !p.Accepted {
		c.yield = c.yield || p.Rival
		c.refused(now, p)
		return
	}
	if p.Term != c.term {
		return
	}
	m.supported = later(m.supported, sent)
	m.acknowledged = max(m.acknowledged, p.Record)
	if c.role == campaigning {
		c.inherited = later(c.inherited, now.Add(p.Outstanding))
		c.tryBecome(now)
	}
	if c.role == controlling {
		c.examineSettlement()
		c.control(now)
	}
}

// refused lets a controller move to a higher term if a member has supported one.
func (c *Controller) refused(now time.Time, p control.SupportResponse) {
	if p.Term <= c.term {
		return
	}
	if c.role == campaigning || now.Before(c.authority(now)) {
		return
	}
	if !now.Before(c.granted) {
		c.stepDown()
		c.candidate = now.Add(promiseTime)
	}
}

// settle notes that a majority of the former members knows the record: the
// controller that wrote it and this member, or what the controller says.
func (c *Controller) settle(now time.Time, q control.SupportRequest) {
	r := &c.record
	if r.settled || r.void || q.Void || q.Record != r.known.Version || !c.vote.allows(now, q.Term, q.Candidate) {
		return
	}
	author := q.Elected && r.known.Term == q.Term
	both := majority(r.known.Former, func(m control.Member) bool {
		return m.Same(c.self) || m.Same(q.Candidate)
	})
	if q.Settled || author && both && slices.ContainsFunc(r.known.Former, c.self.Same) {
		r.settled = true
	}
}
