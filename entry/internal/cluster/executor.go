package cluster

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/revision"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

const (
	// exclusiveRoleTime is how long after its latest write of the lock the coordinator is certain
	// that no other process has taken over: others wait for 1.2 s, and a call in progress takes up
	// to 0.4 s.
	exclusiveRoleTime = 800 * time.Millisecond
	// grantTimeout bounds a grant; a server answers it without waiting for a slot.
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout bounds a release, which waits for the running requests.
	releaseTimeout = 2500 * time.Millisecond
	// followerInterval is the time between two changes of a table for each process that follows the
	// coordinator and gets them.
	followerInterval = 400 * time.Microsecond
	// fenceOnlyHold is how long a grant that only raises the fence lasts.
	fenceOnlyHold = time.Millisecond
	// stepDownInterval is the time between two requests to an earlier coordinator to step down.
	stepDownInterval = 300 * time.Millisecond
	// restoredTableInterval is the time between two reads of a table that a restored store may have
	// lost.
	restoredTableInterval = time.Second
	// probeTimeout bounds the connection attempt that checks whether a silent server can be reached
	// again.
	probeTimeout = 250 * time.Millisecond
)

// executor executes the orders of the coordinators of all services during one term. Its fields are
// protected by the node's lock.
type executor struct {
	node *Node
	term uint64
	// began is when the term began.
	began time.Time
	// membersBefore are the processes that were known to be alive when the term began.
	membersBefore []election.Member
	// era is the era of the store in which the term began.
	era uint64
	// earlierErasUntil is the time by which all grants of the coordinators of earlier eras have
	// expired. It is zero if the store was never restored or if the lock says that they have expired.
	earlierErasUntil time.Time
	// inheritedUntil is the time by which all grants of earlier coordinators have expired.
	inheritedUntil time.Time
	// stepDowns are the requests to past holders of the lock to stop.
	stepDowns map[election.Member]*stepDownState
	// previous is the process's executor of an earlier era while it still renews grants, at most until
	// previousUntil.
	previous      *executor
	previousUntil time.Time
	wake          chan struct{}
	contact       *contact

	services   map[string]*serviceState
	crashStore crashStore
	workload   workload
}

// serviceState holds the coordinator of one service and the state of its calls.
type serviceState struct {
	coordinator *coordinator.Coordinator
	// servers and configuration are those whose servers the coordinator has got.
	servers       *view.Servers
	configuration *traffic.Configuration
	demand        *demand.Service
	readPending   bool
	writePending  bool
	nextStoreCall time.Time
	probing       map[registry.Instance]bool
}

// newExecutor returns an executor of the term of a lock, which begins now. The grants of earlier coordinators
// expire by themselves, and earlier if these are known to have stopped.
func newExecutor(n *Node, l election.Lock, now time.Time) *executor {
	s := &executor{node: n, term: l.Term, began: now, membersBefore: n.members, era: l.Era, stepDowns: make(map[election.Member]*stepDownState), wake: make(chan struct{}, 1), contact: newContact(), services: make(map[string]*serviceState)}
	n.era.observe(now, s.era)
	if !l.Settled {
		s.earlierErasUntil = n.era.earlierGrantsUntil()
	}
	s.inheritedUntil = s.inheritedGrantsUntil(now, l.PastHolders)
	return s
}

// step performs the work that is due for all services.
func (s *executor) step(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	configuration := s.node.view.Configuration()
	if configuration == nil {
		return
	}
	s.workload.steps++
	s.requestStepDowns(ctx, group, now)
	s.renewPrevious(ctx, group, now, configuration)
	servers := s.node.view.Servers()
	unsurveyed := s.contact.unsurveyed()
	held := s.node.membership.heldShares(now)
	for name, service := range configuration.Services {
		if !service.Sharded {
			continue
		}
		state := s.services[name]
		if state == nil {
			state = &serviceState{demand: demand.NewService(now, s.node.rates), probing: make(map[registry.Instance]bool)}
			s.services[name] = state
		}
		if state.coordinator == nil {
			s.loadTable(ctx, group, name, state)
			continue
		}
		if state.servers != servers || state.configuration != configuration {
			state.servers, state.configuration = servers, configuration
			state.coordinator.SetServers(now, configuredServers(configuration, servers))
		}
		s.writeTable(ctx, group, now, name, state)
		if now.Sub(s.node.election.LatestWrite().SentAt) > coordinator.MaxOfflineRenewal {
			continue
		}
		state.demand.SetHeld(held)
		state.coordinator.SetUnverified(unsurveyed)
		orders := state.coordinator.Step(now, state.demand, now.Sub(s.node.election.Confirmed()) < exclusiveRoleTime && s.contact.mayMove())
		s.start(ctx, group, s, state, orders)
		s.writeTable(ctx, group, now, name, state)
		s.probeSilentServers(ctx, group, now, state)
		s.logEvents(name, state)
	}
	s.logWorkload(now)
}

// start executes orders of this executor or the previous one. If the step has reached its bound, the next one
// follows at once.
func (s *executor) start(ctx context.Context, group *sync.WaitGroup, sender *executor, state *serviceState, orders []coordinator.Order) {
	for _, o := range orders {
		group.Go(func() { sender.execute(ctx, state, o) })
	}
	if len(orders) >= coordinator.MaxStepOrders {
		s.wakeNode()
	}
}

// configuredServers returns the registered servers of all configured services. An entry of another service
// may be another writer's, and is no proof that the former server at its address has ended.
func configuredServers(configuration *traffic.Configuration, servers *view.Servers) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers.Registered()), func(r registry.Server) bool {
		_, configured := configuration.Services[r.Service]
		return !configured
	})
}

// logEvents logs the changes in the ownership of a service's keys.
func (s *executor) logEvents(name string, state *serviceState) {
	for _, e := range state.coordinator.Events() {
		fields := log.Fields{
			"service": name, "first": uint64(e.Keys.First), "last": uint64(e.Keys.Last), "server": e.Server.ID,
			"life": e.Server.Incarnation, "fence": e.Fence.String(), "term": s.term,
		}
		if e.EventKind == coordinator.EventMoving {
			fields["from"], fields["reason"] = e.From.ID, string(e.MoveReason)
		}
		s.node.logger.WithFields(fields).Info("keys " + string(e.EventKind))
	}
}

// loadTable reads the table of a service from the store and creates its coordinator.
func (s *executor) loadTable(ctx context.Context, group *sync.WaitGroup, name string, state *serviceState) {
	now := time.Now()
	if state.readPending || now.Before(state.nextStoreCall) {
		return
	}
	state.readPending, state.nextStoreCall = true, now.Add(200*time.Millisecond)
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Get(bounded, replica.KindTables, name)
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		state.readPending = false
		var table *ownership.Table
		switch {
		case errors.Is(err, platform.ErrNotFound):
		case err != nil:
			s.node.logger.WithError(err).Warn("table can't be read")
			return
		default:
			if table, err = ownership.Decode(name, o.Revision, o.Data); err != nil {
				s.node.logger.WithError(err).Error("table in the store can't be decoded")
				return
			}
		}
		table, known := s.latestTable(name, table)
		if now := time.Now(); !known && now.Before(s.earlierErasUntil) {
			s.node.logger.WithField("service", name).WithField("term", s.term).Warn("restored store may have lost the table; grants of earlier coordinators must expire first")
			state.nextStoreCall = now.Add(restoredTableInterval)
			return
		}
		state.servers, state.configuration = nil, nil
		state.coordinator = coordinator.New(name, s.term, table, time.Now(), s.inheritedUntil)
		s.wakeNode()
	})
}

// latestTable returns the newer one of the table in the store, which is nil if there is none, and the
// process's copy, with the revision that the store has. The second result is false if the store may
// have lost a later table of which the process has no copy.
func (s *executor) latestTable(name string, stored *ownership.Table) (*ownership.Table, bool) {
	latest := s.node.view.Table(name)
	if latest == nil || stored != nil && stored.NewerThan(latest) {
		latest = stored
	}
	if latest == nil {
		return nil, s.era == revision.FirstEra
	}
	table := *latest
	table.Revision = 0
	if stored != nil {
		table.Revision = stored.Revision
	}
	return &table, !latest.IsRestored()
}

// writeTable writes the table of a service to the store if it has changed.
func (s *executor) writeTable(ctx context.Context, group *sync.WaitGroup, now time.Time, name string, state *serviceState) {
	if state.writePending || now.Before(state.nextStoreCall) {
		return
	}
	table, generation, ok := state.coordinator.Table()
	if !ok {
		return
	}
	table.Era = s.era
	data, err := ownership.Encode(table)
	if err != nil {
		s.node.logger.WithError(err).Error("table can't be encoded")
		return
	}
	state.writePending = true
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Put(bounded, replica.KindTables, platform.Object{Name: name, Revision: table.Revision, Data: data})
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		state.writePending = false
		switch {
		case err == nil && s.isOutdated(o.Revision):
			// The store was restored before the write, which may have replaced a later coordinator's
			// table.
			s.recheckRole(state)
		case err == nil:
			s.workload.tables++
			s.workload.written = time.Since(now)
			table.Revision = o.Revision
			s.node.replica.UpdateTable(table)
			state.coordinator.MarkStored(time.Now(), generation, o.Revision)
			state.nextStoreCall = time.Now().Add(time.Duration(s.node.followers) * followerInterval)
			s.wakeNode()
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
			// The response to a write of this process was lost, or another coordinator has written.
			s.resolveConflict(ctx, group, name, state)
		default:
			s.node.logger.WithError(err).WithFields(log.Fields{"service": name, "ms": time.Since(now).Milliseconds(), "bytes": len(data)}).Warn("table not written")
			state.nextStoreCall = time.Now().Add(150 * time.Millisecond)
		}
	})
}

// isOutdated reports whether a revision is of a later era than the term.
func (s *executor) isOutdated(r uint64) bool { return revision.Revision(r).Era() > s.era }

// recheckRole makes the process read the lock again, because the store was restored since the term
// began. The state of the coordinators is kept, so that they renew their grants until the next term
// begins.
func (s *executor) recheckRole(state *serviceState) {
	now := time.Now()
	s.node.election.HandleConflict(now)
	state.nextStoreCall = now.Add(time.Second)
}

// resolveConflict finds out who wrote a table that has an unexpected revision. The node's lock must
// be held.
func (s *executor) resolveConflict(ctx context.Context, group *sync.WaitGroup, name string, state *serviceState) {
	state.writePending = true
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Get(bounded, replica.KindTables, name)
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		state.writePending = false
		state.nextStoreCall = time.Now().Add(50 * time.Millisecond)
		if errors.Is(err, platform.ErrNotFound) {
			// Only a restore removes a table.
			state.coordinator.SetRevision(0)
			return
		}
		if err != nil {
			s.node.logger.WithError(err).WithField("service", name).Warn("table can't be read after a conflict")
			return
		}
		if s.isOutdated(o.Revision) {
			s.recheckRole(state)
			return
		}
		table, err := ownership.Decode(name, o.Revision, o.Data)
		if err != nil || table.Term > s.term {
			s.node.logger.WithField("service", name).Warn("another coordinator has written the table")
			state.nextStoreCall = time.Now().Add(time.Second)
			return
		}
		if table.Term < s.term && !state.coordinator.Stored() {
			// The earlier coordinator wrote the table after it was read here. No order was sent
			// yet, so the table is loaded again.
			state.coordinator = nil
			return
		}
		state.coordinator.SetRevision(o.Revision)
		s.wakeNode()
	})
}

// execute makes the call of an order, or makes another process send it if this one does not reach the
// server.
func (s *executor) execute(ctx context.Context, state *serviceState, o coordinator.Order) {
	r := coordinator.Result{Number: o.Number}
	address, err := netip.ParseAddrPort(o.Server.Address)
	to := platform.Recipient{ID: o.Server.ID, Address: address}
	relay, relayed := s.relayFor(o)
	switch {
	case err != nil:
		r.Err, r.Unsent = err, true
	case relayed && o.Connection != 0:
		// The other process has no connection on which the server has accepted the fence.
		r.Err, r.ConnectionEnded = platform.ErrConnectionEnded, true
	case relayed:
		r = s.sendThrough(ctx, relay, to, o)
	default:
		r = s.send(ctx, to, o)
	}
	if r.Err != nil && !r.ConnectionEnded {
		s.node.logger.WithError(r.Err).WithFields(log.Fields{
			"server": o.Server.ID, "life": o.Server.Incarnation, "first": uint64(o.Keys.First), "last": uint64(o.Keys.Last),
			"fence": o.Fence.String(), "term": s.term, "reason": orderKind(o), "unsent": r.Unsent, "misdirected": r.Misdirected, "through": relay.Name,
		}).Info("order failed")
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.countOrder(o, r, relayed)
	if !relayed {
		s.recordContact(o, address, r)
	}
	state.coordinator.HandleResult(time.Now(), r)
	s.wakeNode()
}

// countOrder counts an order for the metrics. The node's lock must be held.
func (s *executor) countOrder(o coordinator.Order, r coordinator.Result, relayed bool) {
	if r.ConnectionEnded {
		s.node.orders[orderKind(o)+" without its connection"]++
		return
	}
	kinds := []string{orderKind(o)}
	if relayed {
		kinds = append(kinds, orderKind(o)+" relayed")
	}
	for _, kind := range kinds {
		s.node.orders[kind]++
		if r.Err != nil {
			s.node.orders[kind+" failed"]++
		}
	}
	if r.Expired {
		s.workload.expired++
	}
}

// send sends an order to its server.
func (s *executor) send(ctx context.Context, to platform.Recipient, o coordinator.Order) coordinator.Result {
	r := coordinator.Result{Number: o.Number}
	switch {
	case o.Release:
		bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		r.Handover, r.Err = s.node.grants.Release(bounded, to, o.Keys, uint64(o.Fence))
	case time.Now().After(o.SendBy) || !s.isActive():
		// The process was short of processor time, or is no longer the coordinator.
		r.Err, r.Expired = errOrderExpired, true
	default:
		bounded, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		r.Connection, r.Err = s.node.grants.Grant(bounded, to, o.Keys, uint64(o.Fence), holdOf(o), o.Handover, o.Connection)
	}
	r.Fenced = errors.Is(r.Err, platform.ErrFenced)
	r.ConnectionEnded = errors.Is(r.Err, platform.ErrConnectionEnded)
	r.Misdirected = errors.Is(r.Err, platform.ErrMisdirected)
	r.Unsent = errors.Is(r.Err, platform.ErrNotSent)
	return r
}

// holdOf returns how long the grant of an order lasts.
func holdOf(o coordinator.Order) time.Duration {
	if o.FenceOnly {
		return fenceOnlyHold
	}
	return coordinator.HoldDuration
}

// recordContact records whether the server has answered an order. A release waits for the running
// requests, so one without an answer says nothing, and neither does one that was not sent because its connection
// has ended, or one that another instance has answered. The node's lock must be held.
func (s *executor) recordContact(o coordinator.Order, address netip.AddrPort, r coordinator.Result) {
	switch {
	case r.ConnectionEnded:
	case r.Err == nil || r.Fenced || r.Misdirected:
		s.contact.recordAnswer(o.Server.Instance)
	case !r.Expired && address.IsValid() && (!o.Release || r.Unsent):
		s.contact.recordFailure(time.Now(), o.Server.Instance)
	}
}

// isActive reports whether the executor is the node's current one, or still renews grants for it.
func (s *executor) isActive() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	current := s.node.executor
	return current == s || current != nil && current.previous == s
}

// orderKind returns the kind of an order for logs and metrics.
func orderKind(o coordinator.Order) string {
	if o.Release {
		return "release"
	}
	return "grant"
}

// probeSilentServers connects to silent servers, so that they get grants again once they can be
// reached.
func (s *executor) probeSilentServers(ctx context.Context, group *sync.WaitGroup, now time.Time, state *serviceState) {
	for _, server := range state.coordinator.SilentServers(now) {
		if state.probing[server.Instance] {
			continue
		}
		state.probing[server.Instance] = true
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			c, err := s.node.dialer.DialContext(bounded, "tcp", server.Address)
			if err == nil {
				_ = c.Close()
			} else {
				// After a connection that is refused at once, the next probe still waits for
				// probeTimeout.
				<-bounded.Done()
			}
			s.node.mu.Lock()
			defer s.node.mu.Unlock()
			delete(state.probing, server.Instance)
			if err == nil {
				state.coordinator.MarkReachable(time.Now(), server.Instance)
				s.wakeNode()
			}
		})
	}
}

// addReport adds a report to the demand of its services.
func (s *executor) addReport(now time.Time, r report.Report) {
	s.workload.reports++
	for _, m := range r.Loads {
		if state := s.services[m.Service]; state != nil {
			state.demand.AddRequests(now, m.Keys, m.MeanServiceTime)
		}
	}
	for _, m := range r.Samples {
		if state := s.services[m.Service]; state != nil {
			state.demand.AddTimings(m.Instance, m.Requests, m.RelativeTimeSum)
		}
	}
}

// wakeNode wakes the node's loop.
func (s *executor) wakeNode() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
