package controller_test

import (
	"slices"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/lease"
)

// server simulates a backend server. Only a fenced server checks grants.
type server struct {
	simulation *simulation
	name       string
	fenced     bool
	clock      clock
	killed     bool
	frozen     bool
	// starts counts the restarts, so that messages to an earlier process are recognized.
	starts int
	// deferred holds messages that arrived while the server was frozen.
	deferred      []func()
	acceptedGrant lease.Grant
}

// runInProcess runs fn in the process to which the sender was connected, or never if that process has ended. A frozen
// process runs it when it thaws.
func (s *server) runInProcess(starts int, fn func()) {
	switch {
	case s.killed || s.starts != starts:
	case s.frozen:
		s.deferred = append(s.deferred, func() { s.runInProcess(starts, fn) })
	default:
		fn()
	}
}

// grant accepts a grant unless its fence, or its revision under the same fence, is lower than that of the present one.
func (s *server) grant(g lease.Grant) bool {
	o := s.acceptedGrant
	if g.Fence < o.Fence || g.Fence == o.Fence && g.Revision < o.Revision {
		return false
	}
	if g.Fence == o.Fence && g.Revision == o.Revision {
		g.Until = max(g.Until, o.Until)
	}
	s.acceptedGrant = g
	return true
}

// accepts reports whether a fenced server would accept a request for the shard now.
func (s *server) accepts(n shard.Shard) bool {
	return !s.killed && s.clock.reading(s.simulation.now) < s.acceptedGrant.Until && slices.Contains(s.acceptedGrant.Shards, n)
}

// serves reports whether the server would serve a request for the shard from some leaseholder.
func (s *server) serves(n shard.Shard) bool {
	if s.killed || s.frozen || s.fenced && !s.accepts(n) {
		return false
	}
	return slices.ContainsFunc(s.simulation.vms, func(v *vm) bool {
		if !v.alive || v.paused || !s.simulation.reachable(v.name, s.name) {
			return false
		}
		f, ok := v.holder.FenceFor(v.now(), s.name, n)
		return ok && (!s.fenced || f == s.acceptedGrant.Fence) && v.probes[s.name] != nil && v.probes[s.name].state != control.Failed
	})
}

func (s *server) thaw() {
	s.frozen = false
	deferred := s.deferred
	s.deferred = nil
	for _, fn := range deferred {
		fn()
		s.simulation.oracle.check()
	}
}

// restart starts a new process, which loses the grant and all messages on open connections. The clock continues.
func (s *server) restart() {
	s.killed, s.frozen, s.deferred = false, false, nil
	s.starts++
	s.acceptedGrant = lease.Grant{}
}

func (s *server) kill() {
	s.killed, s.deferred = true, nil
	s.acceptedGrant = lease.Grant{}
}

func (s *server) freeze() { s.frozen = !s.killed }
