package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// place returns how many members come before m in the succession, not counting the controller that is being replaced.
func (c *Controller) place(m control.Member) int {
	n := 0
	for _, o := range c.record.current() {
		if o.Same(m) {
			return n
		}
		if !o.Same(c.vote.candidate) || c.vote.candidate.Same(c.self) {
			n++
		}
	}
	return n
}

// designated reports whether the record names this process as the controller of a term in which no one else can be.
func (c *Controller) designated() bool {
	k := c.record.known
	if len(k.Members) == 0 || !k.Members[0].Same(c.self) || k.Term < c.highest || k.Term <= c.term {
		return false
	}
	return k.Term > c.vote.term || k.Term == c.vote.term && c.vote.candidate.Same(c.self)
}

// schedule sets when this member becomes a candidate.
func (c *Controller) schedule(now time.Time) {
	c.candidate = time.Time{}
	if c.resigned || !c.isMember() || c.record.founding() {
		return
	}
	if c.designated() {
		c.candidate = now
		return
	}
	from := c.vote.until
	if from.IsZero() {
		from = c.record.adopted.Add(promiseTime)
	}
	c.candidate = from.Add(time.Duration(c.place(c.self)) * succeedDelay)
}

// campaign starts or continues a candidacy, and repeats a controller's requests.
func (c *Controller) campaign(now time.Time) {
	if c.role == campaigning && (!c.isMember() || c.record.founding()) {
		c.stepDown()
	}
	if c.role == supporting && !c.resigned && c.isMember() && !c.record.founding() && !c.candidate.IsZero() && !now.Before(c.candidate) {
		c.start(now)
	}
	if c.role == supporting || now.Before(c.nextAsk) {
		return
	}
	if c.role == campaigning && c.yield {
		// Repeated requests would renew the promises that the other candidate waits for.
		c.stepDown()
		c.candidate = now.Add(promiseTime + time.Duration(c.record.index(c.self))*succeedDelay)
		return
	}
	if c.role == campaigning && c.highest > c.term {
		c.start(now)
	}
	c.ask(now)
	if c.role == campaigning {
		c.tryBecome(now)
	}
}

// start begins a candidacy in a new term.
func (c *Controller) start(now time.Time) {
	term := max(c.highest, c.vote.term, c.record.known.Term) + 1
	if c.designated() {
		term = c.record.known.Term
	}
	c.role = campaigning
	c.yield = false
	c.term = term
	c.inherited = later(c.inherited, later(c.vote.foreign, c.vote.leases))
	c.nextAsk = now
	for _, m := range c.members {
		m.supported = time.Time{}
		m.acknowledged = 0
	}
}

// tryBecome makes a candidate with a majority the controller. Its own vote is
// given only now, so that a failed candidacy doesn't disturb the controller in office.
func (c *Controller) tryBecome(now time.Time) {
	t := c.supportedAt(now)
	if t.IsZero() || !now.Before(t.Add(control.LeaseTTL)) || !c.vote.allows(now, c.term, c.self) {
		return
	}
	if c.vote.term == c.term && !c.vote.candidate.Same(c.self) {
		return
	}
	c.inherited = later(c.inherited, later(c.vote.foreign, c.vote.leases))
	c.vote.give(c.term, c.self, now)
	c.become(now)
}

// become starts the term of a new controller.
func (c *Controller) become(now time.Time) {
	c.role = controlling
	c.highest = max(c.highest, c.term)
	c.fences = 0
	c.answers = 0
	c.granted = time.Time{}
	c.holders = map[string]*holder{}
	c.upstreams = map[string]*upstream{}
	c.moves = newMoves()
	c.grantFrom = now
	c.loadBase = false
	c.nextPlan = now.Add(planInterval)
	c.nextAsk = now
	c.tables.start(now)
	if c.tables.newest.Version().Term < c.record.known.Founded {
		// No member of the line has a table yet; the platform and earlier leases decide.
		c.loadBase = true
		if c.record.known.Founded > firstTerm {
			c.grantFrom = later(now, c.record.founded.Add(promiseTime))
		} else {
			// The first placement waits until the entry VMs have made themselves known.
			c.grantFrom = now.Add(gracePeriod)
		}
	}
	c.loadTable(now)
	c.control(now)
}

// stepDown ends a candidacy or a term.
func (c *Controller) stepDown() {
	if c.role == controlling {
		c.vote.foreign = later(c.vote.foreign, later(c.granted, c.inherited))
		if !c.resigned {
			c.vote.until = later(c.vote.until, c.granted)
		}
	}
	c.role = supporting
	c.tables.stop()
}
