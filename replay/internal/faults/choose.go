package faults

import (
	"context"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/fleet"
)

// chooseServer picks the first server of the service.
func chooseServer(_ context.Context, s *scene) error {
	for _, b := range s.trial.Fleet.Servers {
		if b.Service != s.service.Name {
			continue
		}
		s.server = b
		owned := s.owned(b.Name)
		s.keys, s.least = sample(owned), len(owned)
		return nil
	}
	return eris.Errorf("service %s has no server", s.service.Name)
}

// chooseLeaseholder picks an entry VM that holds leases and controls nothing in the first data centre.
func chooseLeaseholder(ctx context.Context, s *scene) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	for _, e := range s.trial.Fleet.Entries {
		if e.DataCentre == s.centre() && e.Name != controller {
			return s.hold(ctx, e)
		}
	}
	return eris.Errorf("%s has no entry VM besides controller %s", s.centre(), controller)
}

// chooseController picks the entry VM that controls the service in the first data centre.
func chooseController(ctx context.Context, s *scene) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	for _, e := range s.trial.Fleet.Entries {
		if e.Name == controller {
			return s.hold(ctx, e)
		}
	}
	return eris.Errorf("controller %s is not in the fleet", controller)
}

// hold makes an entry VM the one concerned, with the keys of the servers for which it holds leases.
func (s *scene) hold(ctx context.Context, e *fleet.Entry) error {
	servers, err := s.trial.Fleet.Held(ctx, s.service.Name, s.centre(), e.Name)
	if err != nil {
		return err
	}
	s.entry = e
	s.keys = sample(s.owned(servers...))
	if len(s.keys) == 0 {
		// A controller may hold no lease; then no key may notice its loss.
		for k := range s.before {
			s.keys = append(s.keys, k)
		}
		s.keys = sample(s.keys)
	}
	return nil
}

func (s *scene) controller(ctx context.Context) (string, error) {
	return s.trial.Fleet.Controller(ctx, s.service.Name, s.centre())
}

// centre returns the data centre in which the event happens.
func (s *scene) centre() string {
	return s.trial.Fleet.Entries[0].DataCentre
}
