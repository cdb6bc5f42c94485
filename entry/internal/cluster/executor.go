package cluster

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

const (
	// sureTime is how long after its latest write of the lock the coordinator is sure that no
	// other has taken over: others wait for 1.2 s, and a call that is under way takes up to 0.4 s.
	sureTime = 800 * time.Millisecond
	// grantTimeout bounds a grant; a server answers it without waiting for a slot.
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout bounds a release, which waits for the running requests.
	releaseTimeout = 2500 * time.Millisecond
	// briefHold is the hold of a grant that only raises the fence.
	briefHold = time.Millisecond
	// askInterval is the time between two questions to the former coordinator.
	askInterval = 300 * time.Millisecond
	// probeTimeout bounds the connection that finds out whether a silent server is back.
	probeTimeout = 250 * time.Millisecond
)

// executor carries out the decisions of the coordinators of all services for one term. Its
// fields belong to the lock of the node.
type executor struct {
	node    *Node
	term    uint64
	earlier time.Time
	// former is the coordinator before this one until it is known to have stopped.
	former  election.Member
	asking  bool
	nextAsk time.Time
	wake    chan struct{}

	services map[string]*serviceState
}

// serviceState is the coordination of one service.
type serviceState struct {
	coordinator *coordinator.Coordinator
	demand      *demand.Service
	loading     bool
	writing     bool
	nextWrite   time.Time
	probing     map[registry.Life]bool
}

// newExecutor returns an executor of a term that began now. The grants of the former coordinator
// lapse by themselves; if it is known to have stopped, earlier.
func newExecutor(n *Node, term uint64, now time.Time, former election.Member) *executor {
	earlier := now.Add(coordinator.Lapse())
	if former.Name == n.self.Name {
		// An earlier life of this process has ended.
		former = election.Member{}
	}
	if former.Name != "" {
		earlier = earlier.Add(coordinator.Authority)
	}
	return &executor{node: n, term: term, former: former, earlier: earlier, wake: make(chan struct{}, 1), services: make(map[string]*serviceState)}
}

// step does what is due for all services.
func (s *executor) step(ctx context.Context, group *sync.WaitGroup, now, confirmed time.Time) {
	configuration := s.node.view.Configuration()
	if configuration == nil {
		return
	}
	s.askFormer(ctx, group, now)
	servers := s.node.view.Servers().Registered()
	for name, service := range configuration.Services {
		if !service.Sharded {
			continue
		}
		d := s.services[name]
		if d == nil {
			d = &serviceState{demand: demand.NewService(now), probing: make(map[registry.Life]bool)}
			s.services[name] = d
		}
		if d.coordinator == nil {
			s.load(ctx, group, name, d)
			continue
		}
		d.coordinator.SetServers(now, servers)
		s.write(ctx, group, now, name, d)
		if now.Sub(confirmed) > coordinator.Authority {
			continue
		}
		for _, o := range d.coordinator.Step(now, d.demand, now.Sub(confirmed) < sureTime) {
			group.Go(func() { s.carryOut(ctx, d, o) })
		}
		s.write(ctx, group, now, name, d)
		s.probe(ctx, group, now, d)
		s.logDecisions(name, d)
	}
}

// logDecisions writes what has happened to the keys of a service.
func (s *executor) logDecisions(name string, d *serviceState) {
	for _, m := range d.coordinator.Decisions() {
		fields := log.Fields{
			"service": name, "first": uint64(m.Keys.First), "last": uint64(m.Keys.Last), "server": m.Server.ID,
			"life": m.Server.Incarnation, "fence": m.Fence.String(), "term": s.term,
		}
		if m.What == coordinator.Moving {
			fields["from"], fields["reason"] = m.From.ID, string(m.Cause)
		}
		s.node.logger.WithFields(fields).Info("keys " + string(m.What))
	}
}

// askFormer asks the former coordinator to stop until it answers. Without an answer its grants
// count as renewed for the time of its authority.
func (s *executor) askFormer(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if s.former.Name == "" || s.asking || now.Before(s.nextAsk) {
		return
	}
	s.asking, s.nextAsk = true, now.Add(askInterval)
	group.Go(func() {
		answer, err := s.node.peers.Yield(ctx, s.former.Address, report.Yield{Term: s.term})
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		s.asking = false
		// Another process at the address says nothing about the former coordinator.
		if err != nil || !answer.Stopped || answer.Incarnation < s.former.Incarnation {
			return
		}
		s.node.logger.WithFields(log.Fields{"former": s.former.Name, "term": s.term}).Info("former coordinator has stopped")
		s.former = election.Member{}
		s.earlier = time.Now().Add(coordinator.Lapse() + grantTimeout)
		for _, d := range s.services {
			if d.coordinator != nil {
				d.coordinator.Inherit(s.earlier)
			}
		}
	})
}

// load reads the table of a service and starts its coordinator.
func (s *executor) load(ctx context.Context, group *sync.WaitGroup, name string, d *serviceState) {
	now := time.Now()
	if d.loading || now.Before(d.nextWrite) {
		return
	}
	d.loading, d.nextWrite = true, now.Add(200*time.Millisecond)
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Get(bounded, replica.KindTables, name)
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		d.loading = false
		var table *ownership.Table
		switch {
		case errors.Is(err, platform.ErrMissing):
		case err != nil:
			s.node.logger.WithError(err).Warn("table can't be read")
			return
		default:
			if table, err = ownership.Decode(name, o.Revision, o.Data); err != nil {
				s.node.logger.WithError(err).Error("table refused")
				return
			}
		}
		d.coordinator = coordinator.New(name, s.term, table, time.Now(), s.earlier)
		s.signal()
	})
}

// write stores the table of a service if it has changed.
func (s *executor) write(ctx context.Context, group *sync.WaitGroup, now time.Time, name string, d *serviceState) {
	if d.writing || now.Before(d.nextWrite) {
		return
	}
	table, generation, ok := d.coordinator.Table()
	if !ok {
		return
	}
	data, err := ownership.Encode(table)
	if err != nil {
		s.node.logger.WithError(err).Error("table not written")
		return
	}
	d.writing = true
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Put(bounded, replica.KindTables, platform.Object{Name: name, Revision: table.Revision, Data: data})
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		d.writing = false
		switch {
		case err == nil:
			table.Revision = o.Revision
			s.node.replica.StoreTable(table)
			d.coordinator.Stored(time.Now(), generation, o.Revision)
			s.signal()
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrMissing):
			// The answer to an own write was lost, or another coordinator has written.
			s.resolve(ctx, group, name, d)
		default:
			d.nextWrite = time.Now().Add(150 * time.Millisecond)
		}
	})
}

// resolve finds out who wrote a table that has an unexpected revision. The node's lock is held.
func (s *executor) resolve(ctx context.Context, group *sync.WaitGroup, name string, d *serviceState) {
	d.writing = true
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		o, err := s.node.store.Get(bounded, replica.KindTables, name)
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		d.writing = false
		d.nextWrite = time.Now().Add(50 * time.Millisecond)
		if err != nil {
			return
		}
		table, err := ownership.Decode(name, o.Revision, o.Data)
		if err != nil || table.Term > s.term {
			s.node.logger.WithField("service", name).Warn("another coordinator has written the table")
			d.nextWrite = time.Now().Add(time.Second)
			return
		}
		if table.Term < s.term {
			// The earlier coordinator has written after the table was read; no order was sent yet.
			d.coordinator = nil
			return
		}
		d.coordinator.Rebase(o.Revision)
		s.signal()
	})
}

// carryOut makes the call of an order.
func (s *executor) carryOut(ctx context.Context, d *serviceState, o coordinator.Order) {
	r := coordinator.Result{Number: o.Number}
	address, err := netip.ParseAddrPort(o.Server.Address)
	switch {
	case err != nil:
		r.Err, r.Unsent = err, true
	case o.Release:
		bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		r.Handover, r.Err = s.node.grants.Release(bounded, address, o.Keys, uint64(o.Fence))
	case time.Now().After(o.SendBy) || !s.active():
		// The process was short of processor time, or has been replaced.
		r.Err, r.Stale = errStale, true
	default:
		hold := coordinator.Hold
		if o.Brief {
			hold = briefHold
		}
		bounded, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		r.Err = s.node.grants.Grant(bounded, address, o.Keys, uint64(o.Fence), hold, o.Handover)
	}
	r.Fenced = errors.Is(r.Err, platform.ErrFenced)
	r.Unsent = r.Unsent || errors.Is(r.Err, platform.ErrUnsent)
	if r.Err != nil {
		s.node.logger.WithError(r.Err).WithFields(log.Fields{
			"server": o.Server.ID, "life": o.Server.Incarnation, "first": uint64(o.Keys.First), "last": uint64(o.Keys.Last),
			"fence": o.Fence.String(), "term": s.term, "reason": kindOf(o), "unsent": r.Unsent,
		}).Info("order failed")
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.orders[kindOf(o)]++
	if r.Err != nil {
		s.node.orders[kindOf(o)+" failed"]++
	}
	d.coordinator.Finish(time.Now(), r)
	s.signal()
}

// active reports whether the executor still works for the present term.
func (s *executor) active() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.executor == s
}

// kindOf returns the kind of an order for logs and metrics.
func kindOf(o coordinator.Order) string {
	if o.Release {
		return "release"
	}
	return "grant"
}

// probe connects to silent servers, so that they get grants again once they can be reached.
func (s *executor) probe(ctx context.Context, group *sync.WaitGroup, now time.Time, d *serviceState) {
	for _, server := range d.coordinator.Silent(now) {
		if d.probing[server.Life] {
			continue
		}
		d.probing[server.Life] = true
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			c, err := s.node.dialer.DialContext(bounded, "tcp", server.Address)
			if err == nil {
				_ = c.Close()
			} else {
				// The next probe waits as long as one that gets no answer.
				<-bounded.Done()
			}
			s.node.mu.Lock()
			defer s.node.mu.Unlock()
			delete(d.probing, server.Life)
			if err == nil {
				d.coordinator.Answered(time.Now(), server.Life)
				s.signal()
			}
		})
	}
}

// take adds a report to the demand.
func (s *executor) take(now time.Time, r report.Report) {
	for _, m := range r.Demands {
		if d := s.services[m.Service]; d != nil {
			d.demand.Ask(now, m.Keys, m.Work)
		}
	}
	for _, m := range r.Samples {
		if d := s.services[m.Service]; d != nil {
			d.demand.Ran(m.Life, m.Requests, m.Ratios)
		}
	}
}

// signal wakes the node's loop.
func (s *executor) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
