package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// candidacyRank returns how many members come before m in the succession, not counting the controller that is to be
// replaced.
func (c *Controller) candidacyRank(m control.Member) int {
	n := 0
	for _, o := range c.record.currentMembers() {
		if o.Same(m) {
			return n
		}
		if !o.Same(c.promise.candidate) || c.promise.candidate.Same(c.self) {
			n++
		}
	}
	return n
}

// isDesignated reports whether the record names this process as controller of a new term in which no other process can
// be elected.
func (c *Controller) isDesignated() bool {
	k := c.record.known
	if len(k.Members) == 0 || !k.Members[0].Same(c.self) || k.Term < c.highestTerm || k.Term <= c.term {
		return false
	}
	return k.Term > c.promise.term || k.Term == c.promise.term && c.promise.candidate.Same(c.self)
}

// scheduleCandidacy sets when this member becomes a candidate.
func (c *Controller) scheduleCandidacy(now time.Time) {
	c.candidate = time.Time{}
	if c.resigned || !c.isMember() || c.record.resetInDoubt() {
		return
	}
	if c.isDesignated() {
		c.candidate = now
		return
	}
	from := c.promise.until
	if from.IsZero() {
		from = c.record.adoptedAt.Add(promiseDuration)
	}
	c.candidate = from.Add(time.Duration(c.candidacyRank(c.self)) * candidacyStagger)
}

// campaign starts, continues or ends a candidacy, and repeats the support requests of a candidate or controller.
func (c *Controller) campaign(now time.Time) {
	if c.role == roleCandidate && (!c.isMember() || c.record.resetInDoubt()) {
		c.stepDown()
	}
	if c.role == roleMember && !c.resigned && c.isMember() && !c.record.resetInDoubt() && !c.candidate.IsZero() && !now.Before(c.candidate) {
		c.startCandidacy(now)
	}
	if c.role == roleMember || now.Before(c.nextSupportRequest) {
		return
	}
	if c.role == roleCandidate && c.rivalAhead {
		// Further requests would renew the promises whose end the other candidate waits for.
		c.stepDown()
		c.candidate = now.Add(promiseDuration + time.Duration(c.record.memberIndex(c.self))*candidacyStagger)
		return
	}
	if c.role == roleCandidate && c.highestTerm > c.term {
		c.startCandidacy(now)
	}
	c.requestSupport(now)
	if c.role == roleCandidate {
		c.tryTakeControl(now)
	}
}

// startCandidacy makes this process a candidate in a new term.
func (c *Controller) startCandidacy(now time.Time) {
	term := max(c.highestTerm, c.promise.term, c.record.known.Term) + 1
	if c.isDesignated() {
		term = c.record.known.Term
	}
	c.role = roleCandidate
	c.rivalAhead = false
	c.term = term
	c.inheritedExpiry = maxTime(c.inheritedExpiry, maxTime(c.promise.formerExpiry, c.promise.leaseExpiry))
	c.nextSupportRequest = now
	for _, m := range c.members {
		m.lastSupport = time.Time{}
		m.acknowledgedVersion = 0
	}
}

// tryTakeControl makes a candidate with the support of a majority the controller. The
// candidate gives its own support only now, so that a failed candidacy doesn't disturb
// the present controller.
func (c *Controller) tryTakeControl(now time.Time) {
	t := c.supportedAt(now)
	if t.IsZero() || !now.Before(t.Add(control.LeaseTTL)) || !c.promise.permits(now, c.term, c.self) {
		return
	}
	if c.promise.term == c.term && !c.promise.candidate.Same(c.self) {
		return
	}
	c.inheritedExpiry = maxTime(c.inheritedExpiry, maxTime(c.promise.formerExpiry, c.promise.leaseExpiry))
	c.promise.update(c.term, c.self, now)
	c.startTerm(now)
}

// startTerm makes this process the controller and starts its term.
func (c *Controller) startTerm(now time.Time) {
	c.role = roleController
	c.highestTerm = max(c.highestTerm, c.term)
	c.fenceSequence = 0
	c.responseSequence = 0
	c.grantedExpiry = time.Time{}
	c.leaseholders = map[string]*leaseholder{}
	c.upstreams = map[string]*upstreamState{}
	c.moves = newMoves()
	c.grantFrom = now
	c.baseTablePending = false
	c.nextRebalance = now.Add(rebalanceInterval)
	c.nextSupportRequest = now
	c.tables.resetForTerm(now)
	if c.tables.newest.Version().Term < c.record.known.Founded {
		// No member has a table from after the last reset of the record. The term starts from the platform's table, and
		// earlier leases must expire first.
		c.baseTablePending = true
		if c.record.known.Founded > firstTerm {
			c.grantFrom = maxTime(now, c.record.foundedAt.Add(promiseDuration))
		} else {
			// Delay the first table until the entry VMs have announced themselves.
			c.grantFrom = now.Add(gracePeriod)
		}
	}
	c.loadTable(now)
	c.control(now)
}

// stepDown ends a candidacy or a term. After a term, this process supports no other candidate until its leases have
// expired, unless it has resigned.
func (c *Controller) stepDown() {
	if c.role == roleController {
		c.promise.formerExpiry = maxTime(c.promise.formerExpiry, maxTime(c.grantedExpiry, c.inheritedExpiry))
		if !c.resigned {
			c.promise.until = maxTime(c.promise.until, c.grantedExpiry)
		}
	}
	c.role = roleMember
	c.tables.clearControllerState()
}
