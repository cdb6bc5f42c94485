package partition

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/fleet"
)

const (
	// servedKeys and refusedKeys are how many keys of a group are looked up.
	servedKeys  = 20
	refusedKeys = 10
	// leaseTime is how long a VM that has just been cut off may serve under the lease it holds.
	leaseTime = 1200 * time.Millisecond
	// cutGrace covers answers that were under way when the cut began.
	cutGrace = 100 * time.Millisecond
)

// chooseCentre picks the first data centre. Its keys and those elsewhere stay reachable
// from everywhere if it is cut off from the platform only.
func chooseCentre(reachable bool) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		centre := s.centre()
		s.split(func(e *fleet.Entry) bool { return e.DataCentre == centre })
		own := func(b *fleet.Server) bool { return b.DataCentre == centre }
		other := func(b *fleet.Server) bool { return b.DataCentre != centre }
		s.steady("own keys inside", s.keys(servedKeys, own), s.inside)
		s.steady("other keys outside", s.keys(servedKeys, other), s.outside)
		if reachable {
			s.steady("other keys inside", s.keys(servedKeys, other), s.inside)
			s.steady("own keys outside", s.keys(servedKeys, own), s.outside)
			return nil
		}
		s.refused("other keys inside", s.keys(refusedKeys, other), s.inside, cutGrace)
		s.refused("own keys outside", s.keys(refusedKeys, own), s.outside, cutGrace)
		return nil
	}
}

// chooseController picks the entry VM that controls the service in the first data centre.
func chooseController(ctx context.Context, s *scene) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	s.split(func(e *fleet.Entry) bool { return e.Name == controller })
	if len(s.inside) == 0 {
		return eris.Errorf("controller %s is not in the fleet", controller)
	}
	held, err := s.held(ctx, controller)
	if err != nil {
		return err
	}
	own := func(b *fleet.Server) bool { return held[b.Name] }
	other := func(b *fleet.Server) bool { return !held[b.Name] }
	s.served("own keys outside", s.keys(servedKeys, own), s.outside)
	s.served("other keys outside", s.keys(servedKeys, other), s.outside)
	s.refused("own keys inside", s.keys(refusedKeys, own), s.inside, leaseTime)
	s.refused("other keys inside", s.keys(refusedKeys, other), s.inside, cutGrace)
	return nil
}

// choosePeers picks the controller of the first data centre and another entry VM there.
func choosePeers(ctx context.Context, s *scene) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	centre, found := s.centre(), false
	s.split(func(e *fleet.Entry) bool {
		other := !found && e.DataCentre == centre && e.Name != controller
		found = found || other
		return other || e.Name == controller
	})
	all := func(*fleet.Server) bool { return true }
	s.steady("all keys inside", s.keys(servedKeys, func(b *fleet.Server) bool { return b.DataCentre == centre }), s.inside)
	s.steady("all keys outside", s.keys(servedKeys, all), s.outside)
	return nil
}

// centre returns the data centre in which the cut happens.
func (s *scene) centre() string {
	return s.trial.Fleet.Entries[0].DataCentre
}

func (s *scene) controller(ctx context.Context) (string, error) {
	return s.trial.Fleet.Controller(ctx, s.service.Name, s.centre())
}

// held returns the servers for which an entry VM has the leases.
func (s *scene) held(ctx context.Context, entry string) (map[string]bool, error) {
	servers, err := s.trial.Fleet.Held(ctx, s.service.Name, s.centre(), entry)
	if err != nil {
		return nil, err
	}
	held := make(map[string]bool, len(servers))
	for _, name := range servers {
		held[name] = true
	}
	return held, nil
}
