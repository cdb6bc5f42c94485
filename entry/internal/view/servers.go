package view

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
)

// Servers is an immutable set of the registered servers and of those that left less than leaveGrace
// ago.
type Servers struct {
	byInstance map[registry.Instance]*TrackedServer
	byService  map[string][]registry.Server
	registered []registry.Server
}

// TrackedServer is a server with the time until which it may be used.
type TrackedServer struct {
	registry.Server
	// UsableUntil is when requests for its keys are no longer sent to it; zero for a server that is
	// registered and not draining, for which there is no limit.
	UsableUntil time.Time
}

// Service returns the registered servers of a service that are not draining, sorted by ID.
func (s *Servers) Service(service string) []registry.Server { return s.byService[service] }

// Find returns a server if requests for its keys may be sent to it at the given time.
func (s *Servers) Find(now time.Time, inst registry.Instance) (registry.Server, bool) {
	t, ok := s.byInstance[inst]
	if !ok || !t.UsableUntil.IsZero() && now.After(t.UsableUntil) {
		return registry.Server{}, false
	}
	return t.Server, true
}

// Get returns a server whether requests may be sent to it or not.
func (s *Servers) Get(inst registry.Instance) (registry.Server, bool) {
	t, ok := s.byInstance[inst]
	if !ok {
		return registry.Server{}, false
	}
	return t.Server, true
}

// AcceptsRequests reports whether a server is registered and not draining.
func (s *Servers) AcceptsRequests(inst registry.Instance) bool {
	t, ok := s.byInstance[inst]
	return ok && t.UsableUntil.IsZero()
}

// Registered returns all registered servers, including those that are draining. The list must not be changed.
func (s *Servers) Registered() []registry.Server { return s.registered }

// IsTracked reports whether a server is registered or left less than leaveGrace ago.
func (s *Servers) IsTracked(inst registry.Instance) bool {
	_, ok := s.byInstance[inst]
	return ok
}

// update returns the set for a new list of registered servers. A server that is not in the list stays
// known for leaveGrace, unless it is in ended. Those in leaving count as draining since the given times, and
// those of the data centres in evacuated may be used until the given times.
func (s *Servers) update(now time.Time, registered []registry.Server, leaving map[registry.Instance]time.Time, evacuated map[string]time.Time, ended func(registry.Server) bool) *Servers {
	next := &Servers{byInstance: make(map[registry.Instance]*TrackedServer, len(registered)), byService: make(map[string][]registry.Server, len(s.byService)), registered: make([]registry.Server, 0, len(registered))}
	for _, server := range registered {
		leavingSince, isLeaving := leaving[server.Instance]
		leaves := server.Draining || isLeaving
		evacuatedUntil, isEvacuated := evacuated[server.DataCentre]
		server.Draining = leaves || isEvacuated
		t := s.trackedServer(now, server)
		if end := leavingSince.Add(leaveGrace); isLeaving && end.Before(t.UsableUntil) {
			t = &TrackedServer{Server: server, UsableUntil: end}
		}
		if isEvacuated && (!leaves || evacuatedUntil.Before(t.UsableUntil)) {
			t = &TrackedServer{Server: server, UsableUntil: evacuatedUntil}
		}
		if _, known := next.byInstance[server.Instance]; !known {
			next.registered = append(next.registered, t.Server)
		}
		if ended(server) {
			continue
		}
		next.byInstance[server.Instance] = t
		if server.Draining {
			continue
		}
		servers, ok := next.byService[server.Service]
		if !ok {
			servers = make([]registry.Server, 0, len(s.byService[server.Service])+1)
		}
		next.byService[server.Service] = append(servers, server)
	}
	for inst, old := range s.byInstance {
		if _, ok := next.byInstance[inst]; ok {
			continue
		}
		if ended(old.Server) {
			continue
		}
		departed := *old
		if departed.UsableUntil.IsZero() {
			departed.UsableUntil = now.Add(leaveGrace)
		}
		departed.Draining = false
		if now.Before(departed.UsableUntil) {
			next.byInstance[inst] = &departed
		}
	}
	for _, servers := range next.byService {
		slices.SortFunc(servers, func(a, b registry.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return next
}

// endedServers returns a function that reports whether a server has ended, because a later one of a configured
// service is registered at its address.
func endedServers(registered []registry.Server, c *traffic.Configuration) func(registry.Server) bool {
	if c == nil {
		return func(registry.Server) bool { return false }
	}
	latest := make(map[netip.AddrPort]registry.Instance, len(registered))
	for _, server := range registered {
		if _, configured := c.Services[server.Service]; configured && server.Incarnation > latest[server.Address].Incarnation {
			latest[server.Address] = server.Instance
		}
	}
	return func(server registry.Server) bool { return latest[server.Address].Incarnation > server.Incarnation }
}

// trackedServer returns the TrackedServer for a registered server, the current one if nothing has
// changed.
func (s *Servers) trackedServer(now time.Time, server registry.Server) *TrackedServer {
	old := s.byInstance[server.Instance]
	if old != nil && old.Server == server && (server.Draining || old.UsableUntil.IsZero()) {
		return old
	}
	t := &TrackedServer{Server: server}
	if server.Draining {
		t.UsableUntil = now.Add(leaveGrace)
		if old != nil && !old.UsableUntil.IsZero() {
			t.UsableUntil = old.UsableUntil
		}
	}
	return t
}
