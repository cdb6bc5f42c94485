// Package coordinator decides which backend server holds which keys of a sharded service.
//
// One entry VM at a time is the coordinator of a service, by an object in the platform's
// store with a term that rises with each change. The coordinator's table of the service is
// in the store too, and every server that may hold a key is named there before it gets a
// grant. What makes a key have one owner at most:
//
//   - A change of the table is a conditional write. A new coordinator first writes the table
//     with its own term, so that a late write of an earlier one fails.
//   - Keys go to another server only after each holder has released them, its process is known
//     to have ended, or all grants that may have been sent to it have lapsed.
//   - Before keys leave a server, it has accepted a fence of the present term, so that it
//     refuses grants of earlier coordinators that arrive late.
//
// A coordinator that is cut off from the store goes on to renew what it has granted, for the
// time of Authority, and moves nothing. The package makes no calls and has no clock: every
// method takes the time, and the caller carries out the orders.
//
// # Usage
//
//	c := coordinator.New(service, term, table, now, earlier)
//	c.SetServers(servers)
//	orders := c.Step(now, loads)
//	if table, generation, ok := c.Table(); ok {
//		// Write the table, then:
//		c.Stored(generation, revision)
//	}
//	c.Finish(now, result)
package coordinator

import (
	"net/netip"
	"slices"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/ownership"
)

// Coordinator decides for one service. It is not safe for concurrent use.
type Coordinator struct {
	service string
	term    uint64

	servers map[registry.Life]registry.Server
	// tenants has the newest server at each address, of any service.
	tenants  map[netip.AddrPort]registry.Life
	contacts map[registry.Life]*contact
	shares   []*share
	pending  map[uint64]pending
	orders   uint64
	fences   uint32

	// generation counts changes of the table; stored is the newest one in the store.
	generation uint64
	stored     uint64
	revision   uint64

	since     time.Time
	nextPlan  time.Time
	nextEven  time.Time
	decisions []Decision
}

// New returns a coordinator of a term. The table is nil if the service has none; earlier is
// when all grants of earlier coordinators have lapsed at the latest.
func New(service string, term uint64, table *ownership.Table, now, earlier time.Time) *Coordinator {
	c := &Coordinator{
		service: service, term: term, since: now,
		servers:  make(map[registry.Life]registry.Server),
		tenants:  make(map[netip.AddrPort]registry.Life),
		contacts: make(map[registry.Life]*contact),
		pending:  make(map[uint64]pending),
	}
	if table == nil {
		return c
	}
	c.revision = table.Revision
	c.generation = 1
	for i := range table.Assignments {
		a := &table.Assignments[i]
		s := &share{keys: a.Range, generation: c.generation}
		for _, h := range a.Holders {
			s.holders = append(s.holders, &holder{server: h, heldUntil: earlier, next: now, inherited: true, proved: !a.Doubtful})
			// A holder that is no longer registered can be silent too.
			c.contacts[h.Life] = &contact{answered: now}
		}
		if a.Target != nil {
			c.contacts[a.Target.Life] = &contact{answered: now}
			// Any of the servers may hold the keys: the earlier coordinator was in the middle of the move.
			for _, h := range s.holders {
				h.unsure, h.proved = true, !a.Doubtful
			}
			s.target = &holder{server: *a.Target, heldUntil: earlier, next: now, unsure: true, inherited: true}
			if a.Doubtful {
				// The fence of a doubtful holder is raised by a grant, which must not meet the
				// target's work, so the target gives the keys up first.
				s.holders = append(s.holders, s.target)
				s.target = &holder{server: *a.Target, next: now}
			}
		}
		c.shares = append(c.shares, s)
	}
	return c
}

// Inherit takes better knowledge of when the grants of earlier coordinators have lapsed: the
// former one has stopped or has ended.
func (c *Coordinator) Inherit(earlier time.Time) {
	for _, s := range c.shares {
		for _, h := range append(slices.Clone(s.holders), s.target) {
			if h != nil && h.inherited && earlier.Before(h.heldUntil) {
				h.heldUntil = earlier
			}
		}
	}
}

// SetServers replaces the list of registered servers. Those of other services tell that an
// address is no longer used by the server that had it.
func (c *Coordinator) SetServers(now time.Time, servers []registry.Server) {
	clear(c.servers)
	clear(c.tenants)
	for _, s := range servers {
		if s.Incarnation > c.tenants[s.Address].Incarnation {
			c.tenants[s.Address] = s.Life
		}
		if s.Service != c.service {
			continue
		}
		c.servers[s.Life] = s
		if c.contacts[s.Life] == nil {
			c.contacts[s.Life] = &contact{answered: now}
		}
	}
}

// Step returns the orders that are due. While sure is false the process may no longer be the
// coordinator: it renews grants, which a successor's fences overrule, but moves nothing,
// because a successor may have given the keys that it takes for free to their holder again.
func (c *Coordinator) Step(now time.Time, d Demand, sure bool) []Order {
	if sure {
		c.deal(now, d)
	}
	var orders []Order
	for _, s := range c.shares {
		switch {
		case s.generation > c.stored:
			orders = c.keep(now, s, orders)
		case s.atRest():
			orders = c.renew(now, s, orders)
		case sure:
			orders = c.advance(now, s, orders)
		}
	}
	return orders
}

// renew orders the next grant to the one holder of a share.
func (c *Coordinator) renew(now time.Time, s *share, orders []Order) []Order {
	h := s.holders[0]
	if h.busy || now.Before(h.next) || !c.mayGrant(now, h.server) {
		return orders
	}
	return append(orders, c.grant(now, s, h, ""))
}

// keep renews what a share's holder has while the store does not have the share's move yet, as
// during an outage of the store.
func (c *Coordinator) keep(now time.Time, s *share, orders []Order) []Order {
	if len(s.holders) == 1 && s.holders[0].adopted && !s.holders[0].released {
		return c.renew(now, s, orders)
	}
	return orders
}

// advance orders the next call of a moving share.
func (c *Coordinator) advance(now time.Time, s *share, orders []Order) []Order {
	waiting := false
	for _, h := range s.holders {
		if h.released {
			continue
		}
		ended := c.ended(h.server)
		if ended == elsewhere || !h.busy && !now.Before(h.heldUntil) {
			h.released = true
			c.freed(s, h, ended == elsewhere)
			continue
		}
		waiting = true
		if h.busy || now.Before(h.next) || now.Before(s.settled) {
			continue
		}
		if ended == succeeded {
			orders = c.reclaim(now, s, h, orders)
			continue
		}
		orders = c.vacate(now, s, h, orders)
	}
	if waiting || s.target == nil || s.target.busy || now.Before(s.target.next) {
		return orders
	}
	return append(orders, c.grant(now, s, s.target, s.handover))
}

// reclaim orders the release of keys from a server whose process has ended and whose address
// another server of the service has. Grants that were meant for the former may have gone to
// the latter. If one is unanswered, it must lapse. The latter has seen no fence and must learn one
// before it can refuse the grants of earlier coordinators.
func (c *Coordinator) reclaim(now time.Time, s *share, h *holder, orders []Order) []Order {
	if !h.adopted || h.asked && !s.vacated(h) {
		return orders
	}
	h.unsure, h.proved = true, false
	o := Order{Release: !h.asked, Brief: h.asked, Server: h.server, Keys: s.keys, Fence: c.nextFence()}
	return append(orders, c.order(now, s, h, o))
}

// vacate orders the next call by which a holder gives up the keys. The server must have
// accepted a fence of this term before, so that it refuses late grants of earlier ones. A
// server that may not hold the keys gets that fence last and with a hold that lapses at once.
func (c *Coordinator) vacate(now time.Time, s *share, h *holder, orders []Order) []Order {
	o := Order{Server: h.server, Keys: s.keys, Fence: h.fence}
	switch {
	case h.unsure && !h.asked:
		h.fence = c.nextFence()
		o.Release, o.Fence = true, h.fence
	case h.unsure:
		// Even a hold that lapses at once must not meet work of another holder.
		if !c.mayGrant(now, h.server) || !s.vacated(h) {
			return orders
		}
		h.fence = c.nextFence()
		o.Brief, o.Fence = true, h.fence
	case !h.adopted:
		if !c.mayGrant(now, h.server) {
			return orders
		}
		return append(orders, c.grant(now, s, h, ""))
	default:
		o.Release = true
	}
	return append(orders, c.order(now, s, h, o))
}

// grant returns an order that gives the keys of a share to a server.
func (c *Coordinator) grant(now time.Time, s *share, h *holder, handover string) Order {
	if !h.adopted {
		h.fence = c.nextFence()
	}
	before := h.heldUntil
	h.heldUntil = later(before, now.Add(Lapse()))
	h.inherited = false
	h.next = now.Add(renewInterval)
	o := c.order(now, s, h, Order{Server: h.server, Keys: s.keys, Fence: h.fence, Handover: handover})
	p := c.pending[o.Number]
	p.heldBefore = before
	c.pending[o.Number] = p
	return o
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Coordinator) order(now time.Time, s *share, h *holder, o Order) Order {
	c.orders++
	o.Number, o.SendBy = c.orders, now.Add(margin)
	h.busy = true
	c.pending[o.Number] = pending{share: s, holder: h, order: o, heldBefore: h.heldUntil}
	return o
}

func (c *Coordinator) nextFence() fence.Fence {
	c.fences++
	return fence.New(uint32(c.term), c.fences)
}

// Finish takes the result of an order.
func (c *Coordinator) Finish(now time.Time, r Result) {
	p, ok := c.pending[r.Number]
	if !ok {
		return
	}
	delete(c.pending, r.Number)
	s, h := p.share, p.holder
	h.busy = false
	if r.Stale {
		h.heldUntil, h.next = p.heldBefore, now
		return
	}
	if !p.order.Release && !p.order.Brief && !r.Unsent && !r.Fenced {
		// The grant runs from its arrival, which may have been as late as its answer.
		h.heldUntil = later(h.heldUntil, now.Add(Lapse()))
	}
	if !p.order.Release || r.Err == nil || r.Unsent {
		c.note(now, h.server.Life, r.Err == nil || r.Fenced)
	}
	switch {
	case r.Fenced:
		// A grant of an earlier term had a higher fence than any of this one; the next is above it.
		h.adopted, h.next = false, now.Add(retryInterval)
	case r.Err != nil:
		c.failed(now, s, h, p, r)
	case p.order.Release:
		c.released(s, h, r.Handover)
		c.decide(Decision{What: Released, Keys: s.keys, Server: h.server, Fence: p.order.Fence})
	case p.order.Brief:
		h.released = true
	default:
		h.adopted, h.unsure, h.proved = true, false, true
		if !s.atRest() {
			// The next call of a move does not wait for the time of a renewal.
			h.next = now
		}
		if h == s.target {
			s.holders, s.target, s.handover = []*holder{h}, nil, ""
			c.generation++
			c.decide(Decision{What: Granted, Keys: s.keys, Server: h.server, Fence: p.order.Fence})
		}
	}
}

// freed notes that a holder has lost the keys of a share without a release.
func (c *Coordinator) freed(s *share, h *holder, ended bool) {
	what := Lapsed
	if ended {
		what = Ended
	}
	c.decide(Decision{What: what, Keys: s.keys, Server: h.server, Fence: h.fence})
}

// released notes that a server has given up the keys of a share.
func (c *Coordinator) released(s *share, h *holder, handover string) {
	// A server that has taken the keys before may at most take the same grant again, late. One
	// that may not have taken them must refuse the first grant when it comes late.
	if h.unsure && !h.proved {
		h.asked = true
	} else {
		h.released = true
	}
	if handover != "" {
		s.handover = handover
	}
}

// failed notes an order without an answer. A grant may take effect seconds later, even after
// a release; the next grant has a higher fence, after which the server refuses it.
func (c *Coordinator) failed(now time.Time, s *share, h *holder, p pending, r Result) {
	h.next = now.Add(retryInterval)
	if p.order.Release {
		return
	}
	if r.Unsent {
		h.heldUntil = p.heldBefore
	} else {
		h.adopted = false
	}
	if h == s.target {
		c.redirect(now, s)
	}
}

// redirect handles a target that did not answer a grant: it may hold the keys from now on.
func (c *Coordinator) redirect(now time.Time, s *share) {
	if c.mayGrant(now, s.target.server) && c.inUse(s.target.server.Life) {
		return
	}
	former := s.target
	s.holders, s.target, s.handover = nil, nil, ""
	if !former.heldUntil.IsZero() {
		s.holders = []*holder{former}
	}
	c.generation++
	s.generation = c.generation
}

// note keeps what a call tells about a server.
func (c *Coordinator) note(now time.Time, l registry.Life, answered bool) {
	k := c.contacts[l]
	if k == nil {
		return
	}
	if answered {
		k.answered, k.failures = now, 0
		return
	}
	k.failures++
}

// mayGrant reports whether a server may get a grant: one that has not ended and is not silent.
// A silent server gets none, because each grant without an answer puts off the time at which
// its keys are free.
func (c *Coordinator) mayGrant(now time.Time, s ownership.Server) bool {
	return c.ended(s) == unknown && !c.silent(now, s.Life)
}

// silent reports whether a server has not answered for some time.
func (c *Coordinator) silent(now time.Time, l registry.Life) bool {
	k := c.contacts[l]
	return k != nil && k.failures >= 2 && now.Sub(k.answered) > silence
}

// Silent returns the servers whose calls go unanswered, so that the caller can find out
// whether they are back, and Answered can be told.
func (c *Coordinator) Silent(now time.Time) []ownership.Server {
	var out []ownership.Server
	for l, s := range c.servers {
		if c.silent(now, l) {
			out = append(out, ownership.Server{Life: l, Address: s.Address.String()})
		}
	}
	return out
}

// Answered notes that a silent server can be reached again.
func (c *Coordinator) Answered(now time.Time, l registry.Life) { c.note(now, l, true) }

// end says whether the process of a server has ended for certain.
type end int

const (
	// unknown servers may run, even if their entry is missing.
	unknown end = iota
	// succeeded servers have ended, and another of the service may have got their grants.
	succeeded
	// elsewhere means that the process has ended and its address has gone to another service.
	elsewhere
)

// ended tells whether the process of a server has ended: another life has its name or address.
func (c *Coordinator) ended(s ownership.Server) end {
	if _, ok := c.servers[s.Life]; ok {
		return unknown
	}
	if address, err := netip.ParseAddrPort(s.Address); err == nil && c.tenants[address].Incarnation > s.Incarnation {
		if _, same := c.servers[c.tenants[address]]; same {
			return succeeded
		}
		return elsewhere
	}
	for l := range c.servers {
		if l.ID == s.ID && l.Incarnation > s.Incarnation {
			return succeeded
		}
	}
	return unknown
}

// inUse reports whether a server is registered and not leaving.
func (c *Coordinator) inUse(l registry.Life) bool {
	s, ok := c.servers[l]
	return ok && !s.Draining
}

// Table returns the table if it has changes that the store does not have yet.
func (c *Coordinator) Table() (*ownership.Table, uint64, bool) {
	if c.generation == c.stored || len(c.shares) == 0 {
		return nil, 0, false
	}
	t := &ownership.Table{Service: c.service, Revision: c.revision, Term: c.term}
	for _, s := range c.shares {
		t.Assignments = append(t.Assignments, s.assignment())
	}
	return t, c.generation, true
}

// Stored notes that the store has a version of the table, at a revision. Entry VMs see it a
// moment later.
func (c *Coordinator) Stored(now time.Time, generation, revision uint64) {
	for _, s := range c.shares {
		if s.generation > c.stored && s.generation <= generation && !s.atRest() {
			s.settled = now.Add(settleTime)
		}
	}
	c.stored, c.revision = generation, revision
}

// Rebase notes that the store has a table of another revision, which the next write replaces.
func (c *Coordinator) Rebase(revision uint64) { c.revision = revision }

// find returns the place of the share of a key.
func (c *Coordinator) find(k keyspace.Key) int {
	i, _ := slices.BinarySearchFunc(c.shares, k, func(s *share, k keyspace.Key) int { return int(s.keys.Last) - int(k) })
	return i
}
