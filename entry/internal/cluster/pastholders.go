package cluster

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// stepDownState is the state of the requests to one past holder to stop.
type stepDownState struct {
	pending bool
	next    time.Time
}

// inheritedGrantsUntil returns the time by which all grants of earlier coordinators have expired, if these are the
// past holders that may still renew them. One that has stopped may have sent a grant just before. A restored store
// may have lost the lock of a coordinator that nobody can ask to stop.
func (s *executor) inheritedGrantsUntil(now time.Time, past []election.PastHolder) time.Time {
	renewedUntil := now
	for _, p := range past {
		if until := p.Confirmed.Add(coordinator.MaxOfflineRenewal); until.After(renewedUntil) {
			renewedUntil = until
		}
	}
	until := renewedUntil.Add(coordinator.MaxGrantLifetime() + grantTimeout)
	if until.Before(s.earlierErasUntil) {
		return s.earlierErasUntil
	}
	return until
}

// requestStepDowns repeatedly asks each past holder to stop, until it responds. Without a response, its grants count
// as renewed until MaxOfflineRenewal after it can have confirmed its role. The node's lock must be held.
func (s *executor) requestStepDowns(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	s.node.election.RemoveExpired(now.Add(-coordinator.MaxOfflineRenewal))
	for _, p := range s.node.election.PastHolders() {
		if p.Name == "" {
			continue
		}
		state := s.stepDowns[p.Member]
		if state == nil {
			state = &stepDownState{}
			s.stepDowns[p.Member] = state
		}
		if state.pending || now.Before(state.next) {
			continue
		}
		state.pending, state.next = true, now.Add(stepDownInterval)
		group.Go(func() { s.requestStepDown(ctx, p.Member, state) })
	}
}

// requestStepDown asks a past holder to stop.
func (s *executor) requestStepDown(ctx context.Context, m election.Member, state *stepDownState) {
	response, err := s.node.peers.StepDown(ctx, m.Address, report.StepDown{Term: s.term, Successor: s.node.self})
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	state.pending = false
	// Another process at the address says nothing about the past holder. One that has stopped for a term may have
	// the role in a later one.
	if err != nil || !response.Stopped || response.Incarnation < m.Incarnation || s.node.executor != s {
		return
	}
	s.node.election.RemovePastHolder(m)
	left := s.node.election.PastHolders()
	s.node.logger.WithFields(log.Fields{"former": m.Name, "term": s.term, "unstopped": memberNames(left)}).Info("former coordinator has stopped")
	if until := s.inheritedGrantsUntil(time.Now(), left); until.Before(s.inheritedUntil) {
		s.inheritedUntil = until
	}
	for _, state := range s.services {
		if state.coordinator != nil {
			state.coordinator.LimitInheritedGrants(s.inheritedUntil)
		}
	}
}

// memberNames returns the names of past holders for the log.
func memberNames(past []election.PastHolder) []string {
	names := make([]string, len(past))
	for i, p := range past {
		names[i] = cmp.Or(p.Name, "unknown")
	}
	return names
}
