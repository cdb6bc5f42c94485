package controller_test

import (
	"slices"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/lease"
)

// server is a backend server; only a fenced one checks grants.
type server struct {
	world  *world
	name   string
	fenced bool
	clock  clock
	dead   bool
	frozen bool
	starts int
	// backlog holds messages that arrived while the server was frozen.
	backlog []func()
	granted lease.Grant
}

// do runs fn in the process that the sender was connected to.
func (s *server) do(starts int, fn func()) {
	switch {
	case s.dead || s.starts != starts:
	case s.frozen:
		s.backlog = append(s.backlog, func() { s.do(starts, fn) })
	default:
		fn()
	}
}

// grant accepts a grant that isn't lower than the present one.
func (s *server) grant(g lease.Grant) bool {
	o := s.granted
	if g.Fence < o.Fence || g.Fence == o.Fence && g.Revision < o.Revision {
		return false
	}
	if g.Fence == o.Fence && g.Revision == o.Revision {
		g.Until = max(g.Until, o.Until)
	}
	s.granted = g
	return true
}

// accepts reports whether a fenced server would accept a request for the shard now.
func (s *server) accepts(n shard.Shard) bool {
	return !s.dead && s.clock.reading(s.world.now) < s.granted.Until && slices.Contains(s.granted.Shards, n)
}

// serves reports whether some leaseholder can have a request for the shard served.
func (s *server) serves(n shard.Shard) bool {
	if s.dead || s.frozen || s.fenced && !s.accepts(n) {
		return false
	}
	return slices.ContainsFunc(s.world.vms, func(v *vm) bool {
		if !v.alive || v.paused || !s.world.reachable(v.name, s.name) {
			return false
		}
		f, ok := v.holder.Allowed(v.now(), s.name, n)
		return ok && (!s.fenced || f == s.granted.Fence) && v.probes[s.name] != nil && v.probes[s.name].state != control.Failed
	})
}

func (s *server) thaw() {
	s.frozen = false
	backlog := s.backlog
	s.backlog = nil
	for _, fn := range backlog {
		fn()
		s.world.oracle.check()
	}
}

// restart loses the grant and all messages on open connections; the clock goes on.
func (s *server) restart() {
	s.dead, s.frozen, s.backlog = false, false, nil
	s.starts++
	s.granted = lease.Grant{}
}

func (s *server) kill() {
	s.dead, s.backlog = true, nil
	s.granted = lease.Grant{}
}

func (s *server) freeze() { s.frozen = !s.dead }
