// Package reachability tells whether this process reaches the backend servers.
//
// A server that fails may have crashed, or the network between it and this process may be
// partitioned. Either way, requests for it are better sent through another process. When several servers
// fail alike and none answers, this process itself is cut off. It learns that from its requests and from
// probes, which it sends when all servers that have requests of it are silent. While a server can't be
// reached and has requests, it is probed, so that the end of a partition is noticed.
//
// # Usage
//
//	m := reachability.New(servers, prober, logger)
//	go m.Run(ctx)
//	ended := m.RequestSent(now, instance)
//	m.RecordReached(now, instance) // or RecordUnreached, RecordReset
//	ended()
//	if m.CutOff(now) {
//		// Send requests through other processes.
//	}
package reachability

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
)

const (
	// minFailedServers and maxFailedServers bound the number of servers that must fail without any
	// answer in between before the process counts as cut off.
	minFailedServers = 2
	maxFailedServers = 3
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
	// maxProbes is the number of probes that are sent at a time.
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

	mu      sync.Mutex
	states  map[registry.Instance]*state
	running map[registry.Instance]*running
	// lastAnswer is when any server last answered, and lastOpened when a probe last opened a connection.
	lastAnswer time.Time
	lastOpened time.Time
	// silent is true if the process was found to be cut off because servers accept connections and answer
	// nothing. Then only an answer shows that the partition has ended.
	silent bool
	// cutOffSince is when the process was found to be cut off; zero while it is not.
	cutOffSince time.Time
	connected   context.Context
	disconnect  context.CancelCauseFunc
	nextRound   time.Time
	probes      int
}

// state is what is known of a server that has failed.
type state struct {
	resets    int
	unreached bool
	// silent is true if the server has accepted a connection and answered nothing.
	silent      bool
	lastFailure time.Time
	lastDemand  time.Time
	nextProbe   time.Time
	probing     bool
}

// running counts the requests at a server. oldest is when the first of them was sent, or a later time at
// which the server has answered.
type running struct {
	count  int
	oldest time.Time
}

// New returns a monitor of the registered servers.
func New(servers func() []registry.Server, p Prober, logger log.Interface) *Monitor {
	m := &Monitor{
		servers: servers, prober: p, logger: logger, wake: make(chan struct{}, 1),
		states: make(map[registry.Instance]*state), running: make(map[registry.Instance]*running),
	}
	m.connected, m.disconnect = context.WithCancelCause(context.Background())
	return m
}

// RecordReached records that a new connection to a server works.
func (m *Monitor) RecordReached(now time.Time, inst registry.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.states, inst)
	m.answered(now, inst)
}

// RecordAnswer records that a server has answered on a connection that was already open. New connections to
// the server may still fail.
func (m *Monitor) RecordAnswer(now time.Time, inst registry.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered(now, inst)
}

// answered records an answer, which ends the time of being cut off. The lock is held.
func (m *Monitor) answered(now time.Time, inst registry.Instance) {
	if now.After(m.lastAnswer) {
		m.lastAnswer = now
	}
	if r := m.running[inst]; r != nil && now.After(r.oldest) {
		r.oldest = now
	}
	if m.cutOffSince.IsZero() {
		return
	}
	m.logger.WithFields(log.Fields{"server": inst.ID, "ms": now.Sub(m.cutOffSince).Milliseconds()}).Warn("backend servers reached again")
	m.cutOffSince, m.silent = time.Time{}, false
	m.connected, m.disconnect = context.WithCancelCause(context.Background())
}

// RecordUnreached records that no connection to a server could be opened, or that nothing came back on one
// until it was given up.
func (m *Monitor) RecordUnreached(now time.Time, inst registry.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed(now, inst, resetsUntilUnreached, false)
}

// RecordReset records that a new connection to a server ended before any byte of an answer.
func (m *Monitor) RecordReset(now time.Time, inst registry.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed(now, inst, 1, false)
}

// failed records a failure that counts as the given number of resets. The lock is held.
func (m *Monitor) failed(now time.Time, inst registry.Instance, resets int, silent bool) {
	s := m.states[inst]
	if s == nil || !s.unreached && now.Sub(s.lastFailure) > resetWindow {
		s = &state{}
		m.states[inst] = s
	}
	s.resets += resets
	s.lastFailure = now
	if s.resets < resetsUntilUnreached {
		return
	}
	s.unreached, s.silent = true, silent
	if m.cutOffSince.IsZero() {
		// A server that fails while all are silent is a reason to probe others at once.
		m.nextRound = now
	}
	if m.cutOffSince.IsZero() && m.isCutOff() {
		m.cutOffSince, m.silent = now, m.anySilent()
		m.disconnect(errCutOff)
		m.logger.WithFields(log.Fields{"server": inst.ID, "servers": m.failedServers(), "silent": m.silent}).Warn("cut off from the backend servers")
	}
	m.wakeRun()
}

// isCutOff reports whether enough servers have failed since the last answer. The lock is held.
func (m *Monitor) isCutOff() bool {
	failed := m.failedServers()
	return failed >= maxFailedServers || failed >= minFailedServers && failed >= len(m.servers())
}

// failedServers returns the number of servers that have failed since the last answer of any server. The
// lock is held.
func (m *Monitor) failedServers() int {
	n := 0
	for _, s := range m.states {
		if s.unreached && s.lastFailure.After(m.lastAnswer) {
			n++
		}
	}
	return n
}

// anySilent reports whether a server has failed by answering nothing since the last answer. The lock is held.
func (m *Monitor) anySilent() bool {
	for _, s := range m.states {
		if s.silent && s.lastFailure.After(m.lastAnswer) {
			return true
		}
	}
	return false
}

// CutOff reports whether the process reaches no server.
func (m *Monitor) CutOff(time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.cutOffSince.IsZero()
}

// Connected returns a context that ends when the process is found to be cut off.
func (m *Monitor) Connected() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected
}

// Unreached reports whether a request for a server should be sent through another process. A server that
// is asked for is probed until it is reached.
func (m *Monitor) Unreached(now time.Time, inst registry.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.cutOffSince.IsZero() {
		return true
	}
	s := m.states[inst]
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

// RequestSent records that a request is sent to a server. The function that it returns records its end.
func (m *Monitor) RequestSent(now time.Time, inst registry.Instance) (ended func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.running[inst]
	if r == nil {
		r = &running{oldest: now}
		m.running[inst] = r
		m.wakeRun()
	}
	r.count++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if r.count--; r.count == 0 && m.running[inst] == r {
			delete(m.running, inst)
		}
	}
}

// wakeRun makes Run check what is due.
func (m *Monitor) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run probes servers until the context ends. It sleeps while no request runs and all servers are reached.
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

// due returns the probes that are due, and whether there is anything left to check.
func (m *Monitor) due(now time.Time) ([]probe, bool) {
	servers := m.servers()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(servers)
	if len(m.running) == 0 && m.cutOffSince.IsZero() && !m.anyDemand(now) {
		return nil, false
	}
	var out []probe
	add := func(s registry.Server, exchange bool) {
		m.probes++
		out = append(out, probe{s, exchange})
	}
	if n, exchange := m.roundSize(now); n > 0 {
		m.nextRound = now.Add(probeInterval)
		for _, i := range rand.Perm(len(servers)) {
			if m.probes < n {
				add(servers[i], exchange)
			}
		}
		return out, true
	}
	for _, server := range servers {
		s := m.states[server.Instance]
		if s == nil || !s.unreached || s.probing || now.Before(s.nextProbe) || now.Sub(s.lastDemand) > demandLifetime || m.probes >= maxProbes {
			continue
		}
		s.probing, s.nextProbe = true, now.Add(probeInterval)
		add(server, false)
	}
	return out, true
}

// anyDemand reports whether a request for an unreached server has come lately. The lock is held.
func (m *Monitor) anyDemand(now time.Time) bool {
	for _, s := range m.states {
		if s.unreached && now.Sub(s.lastDemand) <= demandLifetime {
			return true
		}
	}
	return false
}

// roundSize returns how many servers must be probed because the process is cut off or all servers are silent,
// and whether they must answer a request. The lock is held.
func (m *Monitor) roundSize(now time.Time) (n int, exchange bool) {
	if now.Before(m.nextRound) {
		return 0, false
	}
	if !m.cutOffSince.IsZero() {
		return maxProbes, m.silent
	}
	silence := m.silence(now)
	exchange = silence >= silenceBeforeExchange
	if silence < silenceBeforeProbe || !exchange && now.Sub(m.lastOpened) < silenceBeforeProbe {
		return 0, false
	}
	if m.failedServers() == 0 {
		return 1, exchange
	}
	return maxProbes, exchange
}

// prune removes the states of servers that are no longer registered. The lock is held.
func (m *Monitor) prune(servers []registry.Server) {
	if len(m.states) == 0 {
		return
	}
	known := make(map[registry.Instance]bool, len(servers))
	for _, s := range servers {
		known[s.Instance] = true
	}
	for inst := range m.states {
		if !known[inst] {
			delete(m.states, inst)
		}
	}
}

// silence returns the time for which at least two servers have had requests and no server has answered. The
// lock is held.
func (m *Monitor) silence(now time.Time) time.Duration {
	var first, second time.Duration
	for _, r := range m.running {
		waited := now.Sub(r.oldest)
		if waited > first {
			first, second = waited, first
		} else if waited > second {
			second = waited
		}
	}
	return min(second, now.Sub(m.lastAnswer))
}

// probe sends a probe and records its result.
func (m *Monitor) probe(ctx context.Context, p probe) {
	err := m.prober.Probe(ctx, p.server, p.exchange)
	now := time.Now()
	m.mu.Lock()
	m.probes--
	if s := m.states[p.server.Instance]; s != nil {
		s.probing = false
	}
	m.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case err == nil && p.exchange:
		m.RecordReached(now, p.server.Instance)
	case err == nil:
		m.connectionOpened(now, p.server.Instance)
	default:
		m.mu.Lock()
		m.failed(now, p.server.Instance, resetsUntilUnreached, p.exchange)
		m.mu.Unlock()
	}
}

// connectionOpened records a probe that has opened a connection. It is no answer while servers accept
// connections and answer nothing.
func (m *Monitor) connectionOpened(now time.Time, inst registry.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastOpened = now
	if m.silent {
		return
	}
	delete(m.states, inst)
	if !m.cutOffSince.IsZero() {
		m.answered(now, inst)
	}
}
