package view

import (
	"cmp"
	"slices"
	"time"

	"bramleystand.org/common/registry"
)

// Servers is an immutable list of servers.
type Servers struct {
	byLife    map[registry.Life]*Entry
	byService map[string][]registry.Server
}

// Entry is a server with the end of its use.
type Entry struct {
	registry.Server
	// LeaveAt is when requests for its keys are no longer sent to it; zero for a server in use.
	LeaveAt time.Time
}

// Service returns the servers of a service that take new work.
func (s *Servers) Service(service string) []registry.Server { return s.byService[service] }

// Find returns a server that may be sent requests for its keys at the given time.
func (s *Servers) Find(now time.Time, l registry.Life) (registry.Server, bool) {
	e, ok := s.byLife[l]
	if !ok || !e.LeaveAt.IsZero() && now.After(e.LeaveAt) {
		return registry.Server{}, false
	}
	return e.Server, true
}

// InUse reports whether a server is registered and takes new work.
func (s *Servers) InUse(l registry.Life) bool {
	e, ok := s.byLife[l]
	return ok && e.LeaveAt.IsZero()
}

// Registered returns all registered servers, draining ones included.
func (s *Servers) Registered() []registry.Server {
	out := make([]registry.Server, 0, len(s.byLife))
	for _, e := range s.byLife {
		if e.LeaveAt.IsZero() || e.Draining {
			out = append(out, e.Server)
		}
	}
	return out
}

// Known reports whether a server is registered or leaving.
func (s *Servers) Known(l registry.Life) bool {
	_, ok := s.byLife[l]
	return ok
}

// replace returns a list with new entries. A server that has left stays known for leaveDelay.
func (s *Servers) replace(now time.Time, list []registry.Server) *Servers {
	next := &Servers{byLife: make(map[registry.Life]*Entry, len(list)), byService: make(map[string][]registry.Server, len(s.byService))}
	for _, server := range list {
		e := s.entry(now, server)
		next.byLife[server.Life] = e
		if server.Draining {
			continue
		}
		servers, ok := next.byService[server.Service]
		if !ok {
			servers = make([]registry.Server, 0, len(s.byService[server.Service])+1)
		}
		next.byService[server.Service] = append(servers, server)
	}
	for l, old := range s.byLife {
		if _, ok := next.byLife[l]; ok {
			continue
		}
		left := *old
		if left.LeaveAt.IsZero() {
			left.LeaveAt = now.Add(leaveDelay)
		}
		left.Draining = false
		if now.Before(left.LeaveAt) {
			next.byLife[l] = &left
		}
	}
	for _, servers := range next.byService {
		slices.SortFunc(servers, func(a, b registry.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return next
}

// entry returns the entry of a registered server, the present one if nothing has changed.
func (s *Servers) entry(now time.Time, server registry.Server) *Entry {
	old := s.byLife[server.Life]
	if old != nil && old.Server == server && (server.Draining || old.LeaveAt.IsZero()) {
		return old
	}
	e := &Entry{Server: server}
	if server.Draining {
		e.LeaveAt = now.Add(leaveDelay)
		if old != nil && !old.LeaveAt.IsZero() {
			e.LeaveAt = old.LeaveAt
		}
	}
	return e
}
