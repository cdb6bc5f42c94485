package controller

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// HandleSupport handles the support request of a candidate or controller.
func (c *Controller) HandleSupport(now time.Time, q control.SupportRequest) control.SupportResponse {
	if q.Succession != nil {
		c.AdoptSuccession(now, *q.Succession)
	}
	c.settleFromRequest(now, q)
	accepted := c.maySupport(now, q)
	p := control.SupportResponse{Pair: c.pair, Accepted: accepted, Record: c.record.known.Version, Member: c.self}
	if accepted {
		c.giveSupport(now, q)
		if o := c.outstandingLeaseTime(now); o > 0 {
			p.LeasesOutstanding = o
		}
	}
	p.IsCandidate = !accepted && c.role == roleCandidate
	c.highestTerm = max(c.highestTerm, q.Term)
	p.Term = c.promise.term
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

// maySupport reports whether the rules for support allow this process to accept the request.
func (c *Controller) maySupport(now time.Time, q control.SupportRequest) bool {
	if q.Pair != c.pair || q.Record != c.record.known.Version || !c.record.includes(c.self) {
		return false
	}
	if q.MembersLost && c.record.settled || c.record.resetInDoubt() {
		return false
	}
	if q.Candidate.Same(c.self) || !c.promise.permits(now, q.Term, q.Candidate) {
		return false
	}
	switch c.role {
	case roleController:
		// Unless this controller has resigned, the leases that it granted must have expired.
		return q.Term > c.term && (c.resigned || !now.Before(c.grantedExpiry))
	case roleCandidate:
		// Of two rival candidates the one later in the succession withdraws.
		return q.Elected || c.record.memberIndex(q.Candidate) < c.record.memberIndex(c.self)
	default:
		return true
	}
}

// giveSupport promises support to the sender of a request that maySupport allows.
func (c *Controller) giveSupport(now time.Time, q control.SupportRequest) {
	if c.role != roleMember {
		c.stepDown()
	}
	c.promise.update(q.Term, q.Candidate, now.Add(promiseDuration))
	if q.Table != nil {
		c.tables.keepNewer(q.Table)
	}
	c.scheduleCandidacy(now)
}

// outstandingLeaseTime returns how long leases of controllers other than the one now supported may still be in use.
func (c *Controller) outstandingLeaseTime(now time.Time) time.Duration {
	return maxTime(maxTime(c.promise.formerExpiry, c.inheritedExpiry), c.grantedExpiry).Sub(now)
}

// requestSupport sends a support request to all other members.
func (c *Controller) requestSupport(now time.Time) {
	for _, to := range c.otherMembers() {
		m := c.memberOf(to)
		q := &control.SupportRequest{
			Pair: c.pair, Term: c.term, Record: c.record.known.Version, FormerSuperseded: c.record.settled, MembersLost: c.record.membersLost, Elected: c.role == roleController,
			Candidate: c.self, Version: c.tables.newest.Version(),
		}
		if m.record != q.Record {
			known := c.record.known
			q.Succession = &known
		}
		if q.Version.Newer(m.tableVersion) {
			q.Table = c.tables.newest
		}
		c.emit(Effect{Kind: SendSupport, To: to, Support: q, Sent: now})
	}
	interval := control.RenewInterval
	if c.role == roleCandidate {
		interval = campaignInterval
	}
	c.nextSupportRequest = now.Add(interval)
}

// HandleSupportResponse takes the response to a support request that was sent at the given time.
func (c *Controller) HandleSupportResponse(now, sent time.Time, p control.SupportResponse) {
	if p.Pair != c.pair {
		return
	}
	if p.Succession != nil {
		c.AdoptSuccession(now, *p.Succession)
	}
	c.highestTerm = max(c.highestTerm, p.Term)
	if p.Table != nil && c.role != roleController {
		c.tables.keepNewer(p.Table)
	}
	if c.role == roleMember {
		return
	}
	m := c.memberOf(p.Member)
	m.record = max(m.record, p.Record)
	if p.Version.Newer(m.tableVersion) {
		m.tableVersion = p.Version
	}
	if !p.Accepted {
		c.rivalAhead = c.rivalAhead || p.IsCandidate
		c.handleRefusal(now, p)
		return
	}
	if p.Term != c.term {
		return
	}
	m.lastSupport = maxTime(m.lastSupport, sent)
	m.acknowledgedVersion = max(m.acknowledgedVersion, p.Record)
	if c.role == roleCandidate {
		c.inheritedExpiry = maxTime(c.inheritedExpiry, now.Add(p.LeasesOutstanding))
		c.tryTakeControl(now)
	}
	if c.role == roleController {
		c.settleFromAcknowledgements()
		c.control(now)
	}
}

// handleRefusal lets a controller without authority step down if a member has supported a higher term and all leases that
// it granted have expired. It may become a candidate in a higher term after promiseDuration.
func (c *Controller) handleRefusal(now time.Time, p control.SupportResponse) {
	if p.Term <= c.term {
		return
	}
	if c.role == roleCandidate || now.Before(c.authority(now)) {
		return
	}
	if !now.Before(c.grantedExpiry) {
		c.stepDown()
		c.candidate = now.Add(promiseDuration)
	}
}

// settleFromRequest marks the record as settled if the request says so, or if its
// sender wrote the record and is, together with this member, a majority of the
// former members.
func (c *Controller) settleFromRequest(now time.Time, q control.SupportRequest) {
	r := &c.record
	if r.settled || r.membersLost || q.MembersLost || q.Record != r.known.Version || !c.promise.permits(now, q.Term, q.Candidate) {
		return
	}
	wroteRecord := q.Elected && r.known.Term == q.Term
	majorityKnows := isMajority(r.known.Former, func(m control.Member) bool {
		return m.Same(c.self) || m.Same(q.Candidate)
	})
	if q.FormerSuperseded || wroteRecord && majorityKnows && slices.ContainsFunc(r.known.Former, c.self.Same) {
		r.settled = true
	}
}
