package faults

import (
	"context"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/fleet"
)

// chooseServer selects the first server of the service, a sample of its keys, and the number
// of its shards as the fewest that must move.
func chooseServer(_ context.Context, s *caseState) error {
	for _, b := range s.trial.Fleet.Servers {
		if b.Service != s.service.Name {
			continue
		}
		s.server = b
		owned := s.ownedKeys(b.Name)
		s.keys, s.minMoved = sampleKeys(owned), len(owned)
		return nil
	}
	return eris.Errorf("service %s has no server", s.service.Name)
}

// chooseLeaseholder selects the first entry VM of the first data centre that is not the
// controller of the service there.
func chooseLeaseholder(ctx context.Context, s *caseState) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	for _, e := range s.trial.Fleet.Entries {
		if e.DataCentre == s.dataCentre() && e.Name != controller {
			return s.setTargetEntry(ctx, e)
		}
	}
	return eris.Errorf("data centre %s has no entry VM besides controller %s", s.dataCentre(), controller)
}

// chooseController selects the entry VM that controls the service in the first data centre.
func chooseController(ctx context.Context, s *caseState) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	for _, e := range s.trial.Fleet.Entries {
		if e.Name == controller {
			return s.setTargetEntry(ctx, e)
		}
	}
	return eris.Errorf("controller %s is not in the fleet", controller)
}

// setTargetEntry makes an entry VM the target of the event, with a sample of the keys of the servers
// for which it holds leases.
func (s *caseState) setTargetEntry(ctx context.Context, e *fleet.Entry) error {
	servers, err := s.trial.Fleet.LeasedServers(ctx, s.service.Name, s.dataCentre(), e.Name)
	if err != nil {
		return err
	}
	s.entry = e
	s.keys = sampleKeys(s.ownedKeys(servers...))
	if len(s.keys) == 0 {
		// A controller may hold no lease. Its loss must then affect no key, so any keys are sampled.
		for k := range s.ownersBefore {
			s.keys = append(s.keys, k)
		}
		s.keys = sampleKeys(s.keys)
	}
	return nil
}

// controller returns the name of the entry VM that controls the service in the first data centre.
func (s *caseState) controller(ctx context.Context) (string, error) {
	return s.trial.Fleet.Controller(ctx, s.service.Name, s.dataCentre())
}

// dataCentre returns the data centre in which the event happens: the first.
func (s *caseState) dataCentre() string {
	return s.trial.Fleet.Entries[0].DataCentre
}
