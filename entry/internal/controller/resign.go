package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// HandleResign ends the promise to a controller that stops.
func (c *Controller) HandleResign(now time.Time, q control.ResignRequest) {
	if q.Pair != c.pair {
		return
	}
	if q.Table != nil {
		c.tables.keep(q.Table)
	}
	if c.role != supporting || q.Term != c.vote.term || !q.From.Same(c.vote.candidate) {
		return
	}
	c.vote.until = now
	c.candidate = now.Add(time.Duration(c.place(c.self)) * succeedDelay)
	c.Tick(now)
}

// Resign stops acting for good, so that the next member takes over without waiting.
func (c *Controller) Resign(now time.Time) {
	if c.resigned {
		return
	}
	c.resigned = true
	if c.role == supporting {
		return
	}
	if c.role == controlling {
		for _, m := range c.others() {
			c.emit(Effect{Kind: SendResign, To: m, Resign: &control.ResignRequest{
				Pair: c.pair, Term: c.term, From: c.self, Table: c.tables.newest,
			}})
		}
	}
	c.vote.until = now
	c.stepDown()
}

// relinquish hands over to the members of a record to which this controller doesn't belong.
func (c *Controller) relinquish(now time.Time) {
	for _, m := range c.others() {
		c.emit(Effect{Kind: SendResign, To: m, Resign: &control.ResignRequest{
			Pair: c.pair, Term: c.term, From: c.self, Table: c.tables.newest,
		}})
	}
	c.stepDown()
	c.schedule(now)
}
