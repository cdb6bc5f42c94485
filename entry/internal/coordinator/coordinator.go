// Package coordinator decides which backend server holds which keys of a sharded service.
//
// One entry VM at a time is the coordinator of a service. An object in the platform's store names
// it and holds its term, which rises with each change of coordinator. The coordinator keeps the
// service's ownership table in the store too, and names every server that may hold a key there
// before it sends that server a grant. Three rules ensure that a key has at most one owner:
//
//   - A change of the table is a conditional write. A new coordinator first writes the table
//     with its own term, so that a late write by an earlier coordinator fails.
//   - Keys go to another server only after every holder has released them, is known to have ended,
//     or has lost them because all grants that may have been sent to it have expired.
//   - Before a server gives up keys, it has accepted a fence of the current term, so that it
//     refuses grants of earlier coordinators that arrive late.
//
// A store that was restored from a copy may lack the latest lock and tables. Its new era begins a new
// term (package election), and three more rules apply:
//
//   - A new coordinator starts from the newest table that it knows, the store's or its own copy, by
//     term and generation.
//   - If it knows only a table that the store has brought back, or none, it sends no orders and writes
//     no table until all grants of coordinators of earlier eras have expired.
//   - Grants that it inherits count as in force until then too, because a coordinator whose lock was
//     lost can't be asked to stop.
//
// A coordinator that can't reach the store continues to renew the grants it has made, for up to
// MaxOfflineRenewal, and moves no keys. The package makes no calls and reads no clock: every
// method takes the time, and the caller executes the orders.
//
// # Usage
//
//	c := coordinator.New(service, term, table, now, inheritedUntil)
//	c.SetServers(now, servers)
//	orders := c.Step(now, demand, confirmed)
//	if table, generation, ok := c.Table(); ok {
//		// Write the table, then:
//		c.MarkStored(now, generation, revision)
//	}
//	c.HandleResult(now, result)
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

// Coordinator assigns the keys of one service to servers. It is not safe for concurrent use.
type Coordinator struct {
	service string
	term    uint64

	servers map[registry.Instance]registry.Server
	// latestByID has the latest incarnation of each server, by its ID.
	latestByID map[string]int64
	// unverified are the servers of which it is not known whether only this process does not reach them.
	unverified map[registry.Instance]bool
	// latestAtAddress holds the newest server at each address, of any service.
	latestAtAddress map[netip.AddrPort]registry.Instance
	health          map[registry.Instance]*serverHealth
	ranges          []*rangeState
	// nextRange is the index of the range that the next step begins with.
	nextRange int
	pending   map[uint64]pending
	lastOrder uint64
	lastFence uint32

	// generation counts changes of the table; storedGeneration is the newest one in the store.
	generation       uint64
	storedGeneration uint64
	revision         uint64

	// serversSince is when a service without a table began to wait for more servers, and serversGrew when
	// the number of servers last grew.
	serversSince   time.Time
	serversGrew    time.Time
	nextPlan       time.Time
	nextUrgentPlan time.Time
	nextSteadyPlan time.Time
	plans          int
	events         []Event
}

// New returns a coordinator of the given term. The table is nil if the service has none.
// inheritedUntil is the time by which all grants of earlier coordinators have expired.
func New(service string, term uint64, table *ownership.Table, now, inheritedUntil time.Time) *Coordinator {
	c := &Coordinator{
		service: service, term: term, serversSince: now,
		servers:         make(map[registry.Instance]registry.Server),
		latestByID:      make(map[string]int64),
		latestAtAddress: make(map[netip.AddrPort]registry.Instance),
		health:          make(map[registry.Instance]*serverHealth),
		pending:         make(map[uint64]pending),
	}
	if table == nil {
		return c
	}
	c.revision = table.Revision
	c.generation = 1
	for i := range table.Assignments {
		a := &table.Assignments[i]
		s := &rangeState{keys: a.Range, generation: c.generation}
		for _, h := range a.Holders {
			s.holders = append(s.holders, &holder{server: h, inheritedUntil: inheritedUntil, nextCall: now, confirmed: !a.Unconfirmed})
			// A holder that is no longer registered can still become silent.
			c.health[h.Instance] = &serverHealth{lastResponse: now}
		}
		if a.Target != nil {
			c.health[a.Target.Instance] = &serverHealth{lastResponse: now}
			// The earlier coordinator stopped during the move, so any of the servers may hold the
			// keys.
			for _, h := range s.holders {
				h.maybeGranted, h.confirmed = true, !a.Unconfirmed
			}
			s.target = &holder{server: *a.Target, inheritedUntil: inheritedUntil, nextCall: now, maybeGranted: true}
			if a.Unconfirmed {
				// An unconfirmed holder accepts a fence of this term only with a grant. That grant
				// must not overlap with requests at the target, so the target releases the keys
				// first.
				s.holders = append(s.holders, s.target)
				s.target = &holder{server: *a.Target, nextCall: now}
			}
		}
		c.ranges = append(c.ranges, s)
	}
	return c
}

// LimitInheritedGrants lowers the time by which all grants of earlier coordinators have expired. It
// is called when an earlier coordinator is known to have stopped or ended.
func (c *Coordinator) LimitInheritedGrants(until time.Time) {
	for _, s := range c.ranges {
		for _, h := range append(slices.Clone(s.holders), s.target) {
			if h != nil && until.Before(h.inheritedUntil) {
				h.inheritedUntil = until
			}
		}
	}
}

// SetServers replaces the list of registered servers. It needs the servers of all services, because
// a server of another service at an address shows that the former instance there has ended.
func (c *Coordinator) SetServers(now time.Time, servers []registry.Server) {
	before := len(c.servers)
	clear(c.servers)
	clear(c.latestByID)
	clear(c.latestAtAddress)
	for _, s := range servers {
		if s.Incarnation > c.latestAtAddress[s.Address].Incarnation {
			c.latestAtAddress[s.Address] = s.Instance
		}
		if s.Service != c.service || c.hasEnded(s.Instance) {
			continue
		}
		c.servers[s.Instance] = s
		c.latestByID[s.ID] = max(c.latestByID[s.ID], s.Incarnation)
		if c.health[s.Instance] == nil {
			c.health[s.Instance] = &serverHealth{lastResponse: now}
		}
	}
	if len(c.servers) > before {
		c.serversGrew = now
	}
}

// SetUnverified replaces the servers of which it is not known whether only this process does not reach them.
// They keep their keys although they are silent.
func (c *Coordinator) SetUnverified(servers map[registry.Instance]bool) { c.unverified = servers }

// Step returns the orders that are due, about MaxStepOrders at most; the others follow with the next steps.
// While confirmed is false, the process may no longer be the coordinator. It then renews grants, which the
// fences of a successor override, but moves no keys, because a successor may have granted keys that look
// free here to their holder again.
func (c *Coordinator) Step(now time.Time, d Demand, confirmed bool) []Order {
	if confirmed {
		c.rebalance(now, d)
	}
	var orders []Order
	// Each step continues after the last range of the one before, so that all get their turn.
	room := min(MaxStepOrders, maxRecentOrders-c.recentOrders(now))
	for n := len(c.ranges); n > 0 && len(orders) < room; n-- {
		c.nextRange %= len(c.ranges)
		s := c.ranges[c.nextRange]
		c.nextRange++
		switch {
		case s.generation > c.storedGeneration:
			orders = c.renewUnstored(now, s, orders)
		case s.isStable():
			orders = c.renew(now, s, orders)
		case confirmed:
			orders = c.advanceMove(now, s, orders)
		}
	}
	return orders
}

// recentOrders returns the number of orders without a result that were issued lately. Earlier ones are likely
// to go to servers that do not answer.
func (c *Coordinator) recentOrders(now time.Time) int {
	n := 0
	for _, p := range c.pending {
		if now.Sub(p.issuedAt) < recentOrderTime {
			n++
		}
	}
	return n
}

// renew orders the next grant to the only holder of a range.
func (c *Coordinator) renew(now time.Time, s *rangeState, orders []Order) []Order {
	h := s.holders[0]
	if h.callPending || now.Before(h.nextCall) || !c.mayGrant(now, h.server) {
		return orders
	}
	return append(orders, c.grantOrder(now, s, h, ""))
}

// renewUnstored renews the grant of a range's holder while the store does not have the range's move
// yet, for example during an outage of the store.
func (c *Coordinator) renewUnstored(now time.Time, s *rangeState, orders []Order) []Order {
	if len(s.holders) == 1 && s.holders[0].fenceAccepted && !s.holders[0].keysReleased {
		return c.renew(now, s, orders)
	}
	return orders
}

// advanceMove orders the next call for a range that is moving.
func (c *Coordinator) advanceMove(now time.Time, s *rangeState, orders []Order) []Order {
	waiting := false
	for _, h := range s.holders {
		if h.keysReleased {
			continue
		}
		status := c.statusOf(h.server)
		if status == ended && !h.grantPending || !h.callPending && !now.Before(h.mayHoldUntil()) {
			h.keysReleased = true
			c.recordLoss(s, h, status == ended)
			continue
		}
		waiting = true
		if h.callPending || now.Before(h.nextCall) || now.Before(s.propagatedAt) {
			continue
		}
		if status == replaced {
			orders = c.releaseAtSuccessor(now, s, h, orders)
			continue
		}
		orders = c.orderRevocation(now, s, h, orders)
	}
	if waiting || s.target == nil || s.target.callPending || now.Before(s.target.nextCall) {
		return orders
	}
	return append(orders, c.grantOrder(now, s, s.target, s.handover))
}

// releaseAtSuccessor orders the release of keys whose holder has ended and started again with the same
// ID. Grants meant for the former life may have reached the new one, and an unanswered one must expire
// first. The new life has seen no fence and must receive one before it can refuse the grants of earlier
// coordinators.
func (c *Coordinator) releaseAtSuccessor(now time.Time, s *rangeState, h *holder, orders []Order) []Order {
	if !h.fenceAccepted || h.releaseAnswered && !s.othersReleased(h) {
		return orders
	}
	h.maybeGranted, h.confirmed = true, false
	o := Order{Release: !h.releaseAnswered, FenceOnly: h.releaseAnswered, Server: h.server, Keys: s.keys, Fence: c.nextFence()}
	return append(orders, c.issueOrder(now, s, h, o))
}

// orderRevocation orders the next call that makes a holder give up the keys. The server must have
// accepted a fence of this term first, so that it refuses late grants of earlier terms. A server
// that may not hold the keys is asked to release them first, and then gets the fence with a grant
// that expires at once.
func (c *Coordinator) orderRevocation(now time.Time, s *rangeState, h *holder, orders []Order) []Order {
	o := Order{Server: h.server, Keys: s.keys, Fence: h.fence}
	switch {
	case h.maybeGranted && !h.releaseAnswered:
		h.fence = c.nextFence()
		o.Release, o.Fence = true, h.fence
	case h.maybeGranted:
		// Even a grant that expires at once must not overlap with requests at another holder.
		if !c.mayGrant(now, h.server) || !s.othersReleased(h) {
			return orders
		}
		h.fence = c.nextFence()
		o.FenceOnly, o.Fence = true, h.fence
	case !h.fenceAccepted:
		if !c.mayGrant(now, h.server) {
			return orders
		}
		return append(orders, c.grantOrder(now, s, h, ""))
	default:
		o.Release = true
	}
	return append(orders, c.issueOrder(now, s, h, o))
}

// grantOrder returns an order that grants the keys of a range to a server.
func (c *Coordinator) grantOrder(now time.Time, s *rangeState, h *holder, handover string) Order {
	if !h.fenceAccepted || h.connection == 0 {
		h.fence, h.connection = c.nextFence(), 0
	}
	before := h.heldUntil
	h.heldUntil = maxTime(before, now.Add(MaxGrantLifetime()))
	h.nextCall = now.Add(renewInterval)
	o := c.issueOrder(now, s, h, Order{Server: h.server, Keys: s.keys, Fence: h.fence, Connection: h.connection, Handover: handover})
	p := c.pending[o.Number]
	p.heldBefore = before
	c.pending[o.Number] = p
	return o
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// issueOrder numbers an order and records it as pending.
func (c *Coordinator) issueOrder(now time.Time, s *rangeState, h *holder, o Order) Order {
	c.lastOrder++
	o.Number, o.SendBy = c.lastOrder, now.Add(sendMargin)
	h.callPending, h.grantPending = true, !o.Release
	if health := c.health[h.server.Instance]; health != nil && !o.Release {
		health.trialPending = true
	}
	c.pending[o.Number] = pending{rangeState: s, holder: h, order: o, heldBefore: h.heldUntil, issuedAt: now}
	return o
}

func (c *Coordinator) nextFence() fence.Fence {
	c.lastFence++
	return fence.New(uint32(c.term), c.lastFence)
}

// HandleResult processes the result of an order.
func (c *Coordinator) HandleResult(now time.Time, r Result) {
	p, ok := c.pending[r.Number]
	if !ok {
		return
	}
	delete(c.pending, r.Number)
	s, h := p.rangeState, p.holder
	h.callPending, h.grantPending = false, false
	if health := c.health[h.server.Instance]; health != nil && !p.order.Release {
		health.trialPending = false
	}
	if r.ConnectionEnded {
		h.connection = 0
	}
	if r.Expired || r.ConnectionEnded {
		h.heldUntil, h.nextCall = p.heldBefore, now
		return
	}
	if r.Misdirected {
		c.handleMisdirected(now, s, h, p)
		return
	}
	if !p.order.Release && !p.order.FenceOnly && !r.Unsent && !r.Fenced {
		// The grant runs from its arrival, which may have been as late as the response to it.
		h.heldUntil = maxTime(h.heldUntil, now.Add(MaxGrantLifetime()))
	}
	if !p.order.Release || r.Err == nil || r.Unsent {
		c.recordCall(now, h.server.Instance, r.Err == nil || r.Fenced)
	}
	switch {
	case r.Fenced:
		// The server has seen a grant of an earlier term with a higher fence than any of this term.
		// The next fence is above it.
		h.fenceAccepted, h.connection, h.nextCall = false, 0, now.Add(retryInterval)
	case r.Err != nil:
		c.handleFailure(now, s, h, p, r)
	case p.order.Release:
		c.keysReleased(s, h, r.Handover)
		c.recordEvent(Event{EventKind: EventReleased, Keys: s.keys, Server: h.server, Fence: p.order.Fence})
	case p.order.FenceOnly:
		h.keysReleased = true
	default:
		h.fenceAccepted, h.connection, h.maybeGranted, h.confirmed = true, r.Connection, false, true
		// The server refuses the grants of earlier coordinators from now on.
		h.inheritedUntil = time.Time{}
		if h != s.target && !s.isStable() && s.generation <= c.storedGeneration {
			// The next call of a move does not wait for the renewal interval.
			h.nextCall = now
		}
		if h == s.target {
			s.holders, s.target, s.handover = []*holder{h}, nil, ""
			c.generation++
			c.recordEvent(Event{EventKind: EventGranted, Keys: s.keys, Server: h.server, Fence: p.order.Fence})
		}
	}
}

// handleMisdirected processes an order that another instance at the server's address has refused. The
// server has ended, and only its next life with the same ID could have accepted orders meant for it.
func (c *Coordinator) handleMisdirected(now time.Time, s *rangeState, h *holder, p pending) {
	h.heldUntil = p.heldBefore
	if health := c.health[h.server.Instance]; health != nil {
		health.ended = true
	}
	delete(c.servers, h.server.Instance)
	if h == s.target {
		c.dropUnresponsiveTarget(now, s)
	}
}

// recordLoss records that a holder has lost the keys of a range without a release.
func (c *Coordinator) recordLoss(s *rangeState, h *holder, instanceEnded bool) {
	kind := EventLapsed
	if instanceEnded {
		kind = EventEnded
	}
	c.recordEvent(Event{EventKind: kind, Keys: s.keys, Server: h.server, Fence: h.fence})
}

// keysReleased records that a server has answered a release of a range.
func (c *Coordinator) keysReleased(s *rangeState, h *holder, handover string) {
	// A server that has confirmed the keys before can at most receive the same grant again, late. A
	// server that may never have received them must refuse the first grant if it arrives late.
	if h.maybeGranted && !h.confirmed {
		h.releaseAnswered = true
	} else {
		h.keysReleased = true
	}
	if handover != "" {
		s.handover = handover
	}
}

// handleFailure processes an order without a response. A grant may take effect seconds later, even
// after a release. The next grant has a higher fence, after which the server refuses the late one.
func (c *Coordinator) handleFailure(now time.Time, s *rangeState, h *holder, p pending, r Result) {
	h.nextCall = now.Add(retryInterval)
	if p.order.Release {
		return
	}
	if r.Unsent {
		h.heldUntil = p.heldBefore
	} else {
		h.fenceAccepted, h.connection = false, 0
	}
	if h == s.target {
		c.dropUnresponsiveTarget(now, s)
	}
}

// dropUnresponsiveTarget turns a target that did not answer a grant into a holder if it may have
// the keys, so that they can go to another server. A target that is still usable is kept.
func (c *Coordinator) dropUnresponsiveTarget(now time.Time, s *rangeState) {
	if c.mayGrant(now, s.target.server) && c.isUsable(s.target.server.Instance) {
		return
	}
	unanswered := s.target
	s.holders, s.target, s.handover = nil, nil, ""
	if !unanswered.mayHoldUntil().IsZero() {
		s.holders = []*holder{unanswered}
	}
	c.generation++
	s.generation = c.generation
}

// recordCall records whether a call to a server was answered.
func (c *Coordinator) recordCall(now time.Time, inst registry.Instance, answered bool) {
	h := c.health[inst]
	if h == nil {
		return
	}
	if answered {
		h.lastResponse, h.failures, h.unproven = now, 0, false
		return
	}
	h.failures++
}

// mayGrant reports whether a server may get a grant: it is not known to have ended and it is not
// silent. A silent server gets none, because each unanswered grant delays the time at which its
// keys are known to be free.
func (c *Coordinator) mayGrant(now time.Time, s ownership.Server) bool {
	h := c.health[s.Instance]
	return c.statusOf(s) == possiblyRunning && !c.isSilent(now, s.Instance) && (h == nil || !h.unproven || !h.trialPending)
}

// isSilent reports whether a server has left calls unanswered for longer than silenceTimeout.
func (c *Coordinator) isSilent(now time.Time, inst registry.Instance) bool {
	h := c.health[inst]
	return h != nil && h.failures >= 2 && now.Sub(h.lastResponse) > silenceTimeout
}

// SilentServers returns the servers whose calls go unanswered, so that the caller can probe them
// and call MarkReachable once they answer.
func (c *Coordinator) SilentServers(now time.Time) []ownership.Server {
	var out []ownership.Server
	for inst, s := range c.servers {
		if c.isSilent(now, inst) && !now.Before(c.health[inst].nextProbe) {
			out = append(out, ownership.Server{Instance: inst, Address: s.Address.String()})
		}
	}
	return out
}

// MarkReachable records that a silent server accepts connections again. It may hang all the same, so it
// gets one grant and, if it does not answer that, none for trialInterval.
func (c *Coordinator) MarkReachable(now time.Time, inst registry.Instance) {
	h := c.health[inst]
	if h == nil || !c.isSilent(now, inst) {
		return
	}
	h.failures, h.unproven, h.trialPending, h.nextProbe = 1, true, false, now.Add(trialInterval)
}

// instanceStatus says whether an instance of a server is known to have ended.
type instanceStatus int

const (
	// possiblyRunning means that the instance may run, even if its entry is missing.
	possiblyRunning instanceStatus = iota
	// replaced means that the instance has ended, and that a later life with the same ID may have
	// accepted its grants.
	replaced
	// ended means that the instance has ended, and that no other one has accepted its grants.
	ended
)

// hasEnded reports whether another instance has refused an order at the address of a server.
func (c *Coordinator) hasEnded(inst registry.Instance) bool {
	h := c.health[inst]
	return h != nil && h.ended
}

// statusOf returns whether an instance of a server has ended, which is known when a newer instance
// has its ID or address, or has refused an order at the address.
func (c *Coordinator) statusOf(s ownership.Server) instanceStatus {
	if _, ok := c.servers[s.Instance]; ok {
		return possiblyRunning
	}
	if c.hasEnded(s.Instance) {
		return ended
	}
	if address, err := netip.ParseAddrPort(s.Address); err == nil && c.latestAtAddress[address].Incarnation > s.Incarnation {
		if c.latestAtAddress[address].ID == s.ID {
			return replaced
		}
		return ended
	}
	if c.latestByID[s.ID] > s.Incarnation {
		return replaced
	}
	return possiblyRunning
}

// isUsable reports whether a server is registered and not draining.
func (c *Coordinator) isUsable(inst registry.Instance) bool {
	s, ok := c.servers[inst]
	return ok && !s.Draining
}

// Table returns the table and its generation if it has changes that are not in the store yet.
func (c *Coordinator) Table() (*ownership.Table, uint64, bool) {
	if c.generation == c.storedGeneration || len(c.ranges) == 0 {
		return nil, 0, false
	}
	t := &ownership.Table{Service: c.service, Revision: c.revision, Term: c.term, Generation: c.generation}
	for _, s := range c.ranges {
		t.Assignments = append(t.Assignments, s.assignment())
	}
	return t, c.generation, true
}

// MarkStored records that the store has a generation of the table, at a revision. Entry VMs read it
// after propagationDelay.
func (c *Coordinator) MarkStored(now time.Time, generation, revision uint64) {
	for _, s := range c.ranges {
		if s.generation > c.storedGeneration && s.generation <= generation && !s.isStable() {
			s.propagatedAt = now.Add(propagationDelay)
			for _, h := range s.holders {
				h.nextCall = now
			}
		}
	}
	c.storedGeneration, c.revision = generation, revision
}

// Stored reports whether the store has accepted a table of this coordinator.
func (c *Coordinator) Stored() bool { return c.storedGeneration > 0 }

// SetRevision sets the revision of the table in the store, which the next write replaces.
func (c *Coordinator) SetRevision(revision uint64) { c.revision = revision }

// indexOf returns the index of the range that contains a key.
func (c *Coordinator) indexOf(k keyspace.Key) int {
	i, _ := slices.BinarySearchFunc(c.ranges, k, func(s *rangeState, k keyspace.Key) int { return int(s.keys.Last) - int(k) })
	return i
}
