package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// HandleResign ends the promise to a controller that stops, so that this member may become a candidate early.
func (c *Controller) HandleResign(now time.Time, q control.ResignRequest) {
	if q.Pair != c.pair {
		return
	}
	if q.Table != nil {
		c.tables.keepNewer(q.Table)
	}
	if c.role != roleMember || q.Term != c.promise.term || !q.From.Same(c.promise.candidate) {
		return
	}
	c.promise.until = now
	c.candidate = now.Add(time.Duration(c.candidacyRank(c.self)) * candidacyStagger)
	c.Tick(now)
}

// Resign ends the part of this process in the pair for good. It tells the other members, so that one of them
// takes over without waiting for the promises to end.
func (c *Controller) Resign(now time.Time) {
	if c.resigned {
		return
	}
	c.resigned = true
	if c.role == roleMember {
		return
	}
	if c.role == roleController {
		for _, m := range c.otherMembers() {
			c.emit(Effect{Kind: SendResign, To: m, Resign: &control.ResignRequest{
				Pair: c.pair, Term: c.term, From: c.self, Table: c.tables.newest,
			}})
		}
	}
	c.promise.until = now
	c.stepDown()
}

// handOverControl resigns in favour of the members of a record to which this controller doesn't belong.
func (c *Controller) handOverControl(now time.Time) {
	for _, m := range c.otherMembers() {
		c.emit(Effect{Kind: SendResign, To: m, Resign: &control.ResignRequest{
			Pair: c.pair, Term: c.term, From: c.self, Table: c.tables.newest,
		}})
	}
	c.stepDown()
	c.scheduleCandidacy(now)
}
