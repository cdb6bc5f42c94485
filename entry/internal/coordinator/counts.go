package coordinator

import "time"

// Counts describes the work of a coordinator.
type Counts struct {
	// Ranges is the number of ranges, Moving those that have no owner or are moving, and Unowned those
	// for which no new owner is chosen yet.
	Ranges, Moving, Unowned int
	// Pending is the number of orders without a result.
	Pending int
	// Silent is the number of servers that get no grants because they have not responded lately.
	Silent int
	// Plans is the number of plans made, and Generation the number of changes of the table.
	Plans      int
	Generation uint64
	// Delay is how long the most delayed renewal is overdue.
	Delay time.Duration
}

// Counts returns the work of the coordinator now.
func (c *Coordinator) Counts(now time.Time) Counts {
	n := Counts{Ranges: len(c.ranges), Pending: len(c.pending), Plans: c.plans, Generation: c.generation}
	for _, s := range c.ranges {
		if c.needsOwner(now, s) {
			n.Unowned++
		}
		if !s.isStable() {
			n.Moving++
			continue
		}
		if h := s.holders[0]; !h.callPending && !h.nextCall.IsZero() && c.mayGrant(now, h.server) {
			n.Delay = max(n.Delay, now.Sub(h.nextCall))
		}
	}
	for inst := range c.servers {
		if c.isSilent(now, inst) {
			n.Silent++
		}
	}
	return n
}
