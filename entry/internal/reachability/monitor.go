// Package reachability tells whether this process reaches the backend servers.
//
// A server that fails may have crashed, or the network between it and this process may be
// partitioned. Either way, requests for it are better sent through another process. When several servers
// of a service fail alike and none answers, this process is cut off from the service, and when that holds
// for the servers of all services, it is cut off as a whole. It learns that from its requests and from
// probes, which it sends when all servers of a service that have requests of it are silent. While a server
// can't be reached and has requests, it is probed, so that the end of a partition is noticed.
//
// # Usage
//
//	m := reachability.New(servers, prober, logger)
//	go m.Run(ctx)
//	ended := m.RequestSent(now, server)
//	m.RecordReached(now, server) // or RecordAnswer, RecordUnreached, RecordReset
//	ended()
//	if m.Unreached(now, server) {
//		// Send requests for the server through other processes.
//	}
package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
)

const (
	// The process counts as cut off when this number of servers has failed without any answer in between:
	// one for each serversPerFailed known ones, but at least usualFailedServers and at most
	// maxFailedServers. If fewer are known, all of them must have failed, and minFailedServers at least.
	// When a third of a thousand servers is lost, three failures in a row are common.
	minFailedServers   = 2
	usualFailedServers = 3
	maxFailedServers   = 8
	serversPerFailed   = 50
	// minSilence is the time without an answer of any server after which the process may count as cut off.
	// Connection attempts that began together fail together, between the answers of other servers.
	minSilence = 300 * time.Millisecond
	// resetsUntilUnreached is the number of new connections in a row that must end without a byte
	// before a server counts as unreached. An overloaded server resets single ones.
	resetsUntilUnreached = 2
	// resetWindow is the time after which an earlier reset doesn't count any more.
	resetWindow = time.Second
	// silenceBeforeProbe is the time without an answer of any server after which connections are tried,
	// and silenceBeforeExchange the time after which servers must answer a request.
	silenceBeforeProbe    = 400 * time.Millisecond
	silenceBeforeExchange = time.Second
	// probeInterval is the time between two probes of a server, or between two rounds of probes while
	// the process is cut off.
	probeInterval = 300 * time.Millisecond
	// demandLifetime is the time since the last request for an unreached server until it is no longer
	// probed.
	demandLifetime = time.Second
	// checkInterval is the time between two checks while requests run or servers are unreached.
	checkInterval = 100 * time.Millisecond
	// pruneInterval is the time between two removals of the states of servers that are gone.
	pruneInterval = 5 * time.Second
	// maxProbes is the number of servers that are probed in a round, and of unreached ones at a time.
	maxProbes = 3
)

// errCutOff is the cause with which the context that Connected returns ends.
var errCutOff = eris.New("reachability: this process is cut off from the backend servers")

// Prober opens a new connection to a server. If exchange is true, the server must also answer a request.
type Prober interface {
	Probe(ctx context.Context, s registry.Server, exchange bool) error
}

// Monitor records which servers this process reaches. It is safe for concurrent use.
type Monitor struct {
	servers func() []registry.Server
	prober  Prober
	logger  log.Interface
	wake    chan struct{}

	mu     sync.Mutex
	states map[registry.Instance]*state
	// services has what is known of the servers of each service together, and all of those of all.
	services map[string]*group
	all      *group
	probes   int
	// nextPrune is when servers that are no longer registered are forgotten.
	nextPrune time.Time
}

// state is what is known of a server.
type state struct {
	service string
	// running is the number of requests at the server, and waitingSince when the first of them was sent, or
	// a later time at which the server has answered.
	running      int
	waitingSince time.Time
	resets       int
	unreached    bool
	// silent is true if the server has accepted a connection and answered nothing.
	silent      bool
	lastFailure time.Time
	lastDemand  time.Time
	nextProbe   time.Time
	probing     bool
}

// group is what is known of several servers together.
type group struct {
	// lastAnswer is when any server last answered, and lastOpened when a probe last opened a connection.
	lastAnswer time.Time
	lastOpened time.Time
	// cutOffSince is when the process was found to be cut off from all servers; zero while it is not.
	cutOffSince time.Time
	// silent is true if that was found because servers accept connections and answer nothing. Then only
	// an answer shows that the partition has ended.
	silent bool
	// connected ends when the process is found to be cut off.
	connected  context.Context
	disconnect context.CancelCauseFunc
	nextRound  time.Time
	// longest and silence are the longest and the second longest time that a server with requests has not
	// answered; the latter is at most that since the last answer.
	longest, silence time.Duration
}

func newGroup() *group {
	g := &group{}
	g.connected, g.disconnect = context.WithCancelCause(context.Background())
	return g
}

func (g *group) isCutOff() bool { return !g.cutOffSince.IsZero() }

// New returns a monitor of the registered servers.
func New(servers func() []registry.Server, p Prober, logger log.Interface) *Monitor {
	return &Monitor{
		servers: servers, prober: p, logger: logger, wake: make(chan struct{}, 1),
		states: make(map[registry.Instance]*state), services: make(map[string]*group), all: newGroup(),
	}
}

// group returns the group of a service. The lock is held.
func (m *Monitor) group(service string) *group {
	g := m.services[service]
	if g == nil {
		g = newGroup()
		m.services[service] = g
	}
	return g
}

// state returns the state of a server. The lock is held.
func (m *Monitor) state(server registry.Server) *state {
	s := m.states[server.Instance]
	if s == nil {
		s = &state{service: server.Service}
		m.states[server.Instance] = s
	}
	return s
}

// RecordReached records that a server has answered on a new connection.
func (m *Monitor) RecordReached(now time.Time, server registry.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(server).reached()
	m.answered(now, server)
}

// RecordAnswer records that a server has answered on a connection that was already open. New connections to
// the server may still fail.
func (m *Monitor) RecordAnswer(now time.Time, server registry.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered(now, server)
}

// reached forgets all failures.
func (s *state) reached() { s.resets, s.unreached, s.silent = 0, false, false }

// answered records an answer, which ends the time of being cut off. The lock is held.
func (m *Monitor) answered(now time.Time, server registry.Server) {
	if s := m.state(server); now.After(s.waitingSince) {
		s.waitingSince = now
	}
	for _, g := range []*group{m.group(server.Service), m.all} {
		if now.After(g.lastAnswer) {
			g.lastAnswer = now
		}
		if !g.isCutOff() {
			continue
		}
		m.logger.WithFields(log.Fields{"server": server.ID, "service": m.nameOf(g, server), "ms": now.Sub(g.cutOffSince).Milliseconds()}).Warn("backend servers reached again")
		g.cutOffSince, g.silent = time.Time{}, false
		g.connected, g.disconnect = context.WithCancelCause(context.Background())
	}
}

// nameOf returns the name of a group in log lines.
func (m *Monitor) nameOf(g *group, server registry.Server) string {
	if g == m.all {
		return "all"
	}
	return server.Service
}

// RecordUnreached records that no connection to a server could be opened, or that nothing came back on one
// until it was given up.
func (m *Monitor) RecordUnreached(now time.Time, server registry.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed(now, server, resetsUntilUnreached, false)
}

// RecordReset records that a new connection to a server ended before any byte of an answer.
func (m *Monitor) RecordReset(now time.Time, server registry.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed(now, server, 1, false)
}

// failed records a failure that counts as the given number of resets. The lock is held.
func (m *Monitor) failed(now time.Time, server registry.Server, resets int, silent bool) {
	s := m.state(server)
	if !s.unreached && now.Sub(s.lastFailure) > resetWindow {
		s.resets = 0
	}
	s.resets += resets
	s.lastFailure = now
	if s.resets < resetsUntilUnreached {
		return
	}
	s.unreached, s.silent = true, silent
	service := m.group(server.Service)
	if !service.isCutOff() {
		// A server that fails while all are silent is a reason to probe others at once.
		service.nextRound = now
	}
	for _, g := range []*group{service, m.all} {
		if g.isCutOff() || now.Sub(g.lastAnswer) < minSilence || !m.isDisconnected(g, server.Service) {
			continue
		}
		g.cutOffSince, g.silent = now, m.anySilent(g, server.Service)
		g.disconnect(errCutOff)
		m.logger.WithFields(log.Fields{"server": server.ID, "service": m.nameOf(g, server), "servers": m.failedServers(g, server.Service), "silent": g.silent}).Warn("cut off from backend servers")
	}
	m.wakeRun()
}

// isDisconnected reports whether enough servers of a group have failed since the last answer. The lock is
// held.
func (m *Monitor) isDisconnected(g *group, service string) bool {
	failed := m.failedServers(g, service)
	if failed < minFailedServers {
		return false
	}
	known := 0
	for _, s := range m.servers() {
		if g == m.all || s.Service == service {
			known++
		}
	}
	return failed >= min(known, max(usualFailedServers, min(known/serversPerFailed, maxFailedServers)))
}

// failedServers returns the number of servers of a group that have failed since the last answer of any of
// them. The lock is held.
func (m *Monitor) failedServers(g *group, service string) int {
	n := 0
	for _, s := range m.states {
		if s.unreached && s.lastFailure.After(g.lastAnswer) && (g == m.all || s.service == service) {
			n++
		}
	}
	return n
}

// anySilent reports whether a server of a group has failed by answering nothing since the last answer. The
// lock is held.
func (m *Monitor) anySilent(g *group, service string) bool {
	for _, s := range m.states {
		if s.silent && s.lastFailure.After(g.lastAnswer) && (g == m.all || s.service == service) {
			return true
		}
	}
	return false
}

// CutOff reports whether the process reaches no server of any service.
func (m *Monitor) CutOff(time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all.isCutOff()
}

// CutOffFrom reports whether the process reaches no server of a service.
func (m *Monitor) CutOffFrom(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.services[service]
	return g != nil && g.isCutOff()
}

// Hanging reports whether the process is cut off from the servers of a service, and new connections to them
// can't be opened.
func (m *Monitor) Hanging(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.services[service]
	return g != nil && g.isCutOff() && !g.silent
}

// Connected returns a context that ends when the process is found to be cut off from a service.
func (m *Monitor) Connected(service string) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group(service).connected
}

// Unreached reports whether a request for a server should be sent through another process. A server that
// is asked for is probed until it is reached.
func (m *Monitor) Unreached(now time.Time, server registry.Server) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[server.Instance]
	if g := m.services[server.Service]; g != nil && g.isCutOff() {
		return true
	}
	if s == nil || !s.unreached {
		return false
	}
	s.lastDemand = now
	m.wakeRun()
	return true
}

// UnreachedServers returns the number of servers that can't be reached.
func (m *Monitor) UnreachedServers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.states {
		if s.unreached {
			n++
		}
	}
	return n
}

// CutOffServices returns the names of the services of which no server is reached.
func (m *Monitor) CutOffServices() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{}
	for name, g := range m.services {
		if g.isCutOff() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RequestSent records that a request is sent to a server. The function that it returns records its end.
func (m *Monitor) RequestSent(now time.Time, server registry.Server) (ended func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(server)
	if s.running == 0 {
		s.waitingSince = now
		m.wakeRun()
	}
	s.running++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		s.running--
	}
}

// wakeRun makes Run check what is due.
func (m *Monitor) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run probes servers until the context ends. It sleeps while no request runs and nobody asks for a server
// that is not reached.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for active := true; active; {
			var due []probe
			due, active = m.due(time.Now())
			for _, p := range due {
				group.Go(func() { m.probe(ctx, p) })
			}
			timer.Reset(checkInterval)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
	}
}

// probe is a probe that is due.
type probe struct {
	server   registry.Server
	exchange bool
}

// due returns the probes that are due, and whether there may be more later.
func (m *Monitor) due(now time.Time) ([]probe, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measureSilence(now)
	probing, active := m.anyDue(now)
	if !probing && now.Before(m.nextPrune) {
		return nil, active
	}
	servers := m.servers()
	m.prune(servers)
	m.nextPrune = now.Add(pruneInterval)
	var out []probe
	add := func(s registry.Server, exchange bool) {
		m.probes++
		out = append(out, probe{s, exchange})
	}
	for service, g := range m.services {
		n, exchange := m.roundSize(now, service, g)
		if n == 0 {
			continue
		}
		g.nextRound = now.Add(probeInterval)
		for _, i := range rand.Perm(len(servers)) {
			if n > 0 && servers[i].Service == service {
				n--
				add(servers[i], exchange)
			}
		}
	}
	for _, server := range servers {
		s := m.states[server.Instance]
		if s == nil || !s.isProbeDue(now) || m.probes >= maxProbes || m.group(server.Service).isCutOff() {
			continue
		}
		s.probing, s.nextProbe = true, now.Add(probeInterval)
		add(server, false)
	}
	return out, active
}

// roundSize returns how many servers of a service must be probed because the process is cut off from it or
// all of its servers are silent, and whether they must answer a request. The lock is held.
func (m *Monitor) roundSize(now time.Time, service string, g *group) (n int, exchange bool) {
	if now.Before(g.nextRound) {
		return 0, false
	}
	if g.isCutOff() {
		return maxProbes, g.silent
	}
	exchange = g.silence >= silenceBeforeExchange
	if g.silence < silenceBeforeProbe || !exchange && now.Sub(g.lastOpened) < silenceBeforeProbe {
		return 0, false
	}
	if m.failedServers(g, service) == 0 {
		return 1, exchange
	}
	return maxProbes, exchange
}

// prune removes the states of servers that are no longer registered and have no requests. The lock is held.
func (m *Monitor) prune(servers []registry.Server) {
	known := make(map[registry.Instance]bool, len(servers))
	services := make(map[string]bool)
	for _, s := range servers {
		known[s.Instance], services[s.Service] = true, true
	}
	for inst, s := range m.states {
		if !known[inst] && s.running == 0 {
			delete(m.states, inst)
		}
	}
	for name := range m.services {
		if !services[name] {
			delete(m.services, name)
		}
	}
}

// anyDue reports whether a probe may be due, and whether there may be one later. The lock is held.
func (m *Monitor) anyDue(now time.Time) (probing, active bool) {
	for service, g := range m.services {
		n, _ := m.roundSize(now, service, g)
		probing, active = probing || n > 0, active || g.isCutOff()
	}
	for _, s := range m.states {
		probing = probing || s.isProbeDue(now)
		active = active || s.running > 0 || s.isWanted(now)
	}
	return probing, active
}

// isWanted reports whether a request for the server has come lately although it is not reached.
func (s *state) isWanted(now time.Time) bool {
	return s.unreached && now.Sub(s.lastDemand) <= demandLifetime
}

func (s *state) isProbeDue(now time.Time) bool {
	return s.isWanted(now) && !s.probing && !now.Before(s.nextProbe)
}

// measureSilence determines for each service the time for which at least two servers have had requests and
// none has answered. The lock is held.
func (m *Monitor) measureSilence(now time.Time) {
	for _, g := range m.services {
		g.longest, g.silence = 0, 0
	}
	for _, s := range m.states {
		if s.running == 0 {
			continue
		}
		g := m.group(s.service)
		if waited := now.Sub(s.waitingSince); waited > g.longest {
			g.longest, g.silence = waited, g.longest
		} else {
			g.silence = max(g.silence, waited)
		}
	}
	for _, g := range m.services {
		g.silence = min(g.silence, now.Sub(g.lastAnswer))
	}
}

// probe sends a probe and records its result.
func (m *Monitor) probe(ctx context.Context, p probe) {
	err := m.prober.Probe(ctx, p.server, p.exchange)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes--
	m.state(p.server).probing = false
	switch {
	case ctx.Err() != nil:
	case err != nil:
		m.failed(now, p.server, resetsUntilUnreached, p.exchange)
	case p.exchange:
		m.state(p.server).reached()
		m.answered(now, p.server)
	default:
		m.connectionOpened(now, p.server)
	}
}

// connectionOpened records a probe that has opened a connection. It is no answer while servers accept
// connections and answer nothing. The lock is held.
func (m *Monitor) connectionOpened(now time.Time, server registry.Server) {
	g := m.group(server.Service)
	g.lastOpened = now
	if g.silent {
		return
	}
	m.state(server).reached()
	if g.isCutOff() {
		m.answered(now, server)
	}
}
