package cluster

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/coordinator"
)

// keepRenewing makes the process's executor of an earlier era renew its grants until the tables of this
// term are stored, because the store may be lost again before that. Its grants expire before
// earlierErasUntil: confirmed, when it was last certain of its role, is before the restore.
func (s *executor) keepRenewing(previous *executor, confirmed time.Time) {
	if previous == nil || previous.era >= s.era || s.earlierErasUntil.IsZero() {
		return
	}
	s.previous, s.previousUntil = previous, confirmed.Add(coordinator.MaxOfflineRenewal)
}

// renewPrevious renews the grants of the previous executor for the services whose table is not stored
// yet. It moves no keys.
func (s *executor) renewPrevious(ctx context.Context, group *sync.WaitGroup, now time.Time, configuration *traffic.Configuration) {
	if s.previous == nil {
		return
	}
	if now.After(s.previousUntil) {
		s.previous = nil
		return
	}
	previous, servers := s.previous, configuredServers(configuration, s.node.view.Servers())
	for name, state := range previous.services {
		if state.coordinator == nil || s.hasStored(name) {
			delete(previous.services, name)
			continue
		}
		state.coordinator.SetServers(now, servers)
		s.start(ctx, group, previous, state, state.coordinator.Step(now, state.demand, false))
		previous.probeSilentServers(ctx, group, now, state)
	}
}

// hasStored reports whether the store has a table of this term for a service.
func (s *executor) hasStored(name string) bool {
	state := s.services[name]
	return state != nil && state.coordinator != nil && state.coordinator.Stored()
}
