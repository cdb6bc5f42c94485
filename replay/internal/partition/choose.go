package partition

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/fleet"
)

const (
	// servedKeys and refusedKeys limit the keys of a group that must be served and of one
	// that must not.
	servedKeys  = 20
	refusedKeys = 10
	// leaseGrace is how long an entry VM that has been cut off may still serve keys under its leases.
	leaseGrace = 1200 * time.Millisecond
	// cutGrace allows for responses that were in transit when the cut began.
	cutGrace = 100 * time.Millisecond
)

// chooseCentre selects the entry VMs of the first data centre. If platformOnly is set, they
// are cut off from the platform but not from other entry VMs, so that every entry VM must
// go on serving all keys. Otherwise each side must serve only the keys of its own servers.
func chooseCentre(platformOnly bool) func(context.Context, *caseState) error {
	return func(_ context.Context, s *caseState) error {
		centre := s.dataCentre()
		s.splitEntries(func(e *fleet.Entry) bool { return e.DataCentre == centre })
		own := func(b *fleet.Server) bool { return b.DataCentre == centre }
		other := func(b *fleet.Server) bool { return b.DataCentre != centre }
		s.addUninterrupted("own keys inside", s.sampleKeys(servedKeys, own), s.inside)
		s.addUninterrupted("other keys outside", s.sampleKeys(servedKeys, other), s.outside)
		if platformOnly {
			s.addUninterrupted("other keys inside", s.sampleKeys(servedKeys, other), s.inside)
			s.addUninterrupted("own keys outside", s.sampleKeys(servedKeys, own), s.outside)
			return nil
		}
		s.addRefused("other keys inside", s.sampleKeys(refusedKeys, other), s.inside, cutGrace)
		s.addRefused("own keys outside", s.sampleKeys(refusedKeys, own), s.outside, cutGrace)
		return nil
	}
}

// chooseController selects the entry VM that controls the service in the first data centre.
// The other entry VMs must serve all keys; it must serve none once its leases have expired.
func chooseController(ctx context.Context, s *caseState) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	s.splitEntries(func(e *fleet.Entry) bool { return e.Name == controller })
	if len(s.inside) == 0 {
		return eris.Errorf("controller %s is not in the fleet", controller)
	}
	leasedServers, err := s.leasedServers(ctx, controller)
	if err != nil {
		return err
	}
	own := func(b *fleet.Server) bool { return leasedServers[b.Name] }
	other := func(b *fleet.Server) bool { return !leasedServers[b.Name] }
	s.addServed("own keys outside", s.sampleKeys(servedKeys, own), s.outside)
	s.addServed("other keys outside", s.sampleKeys(servedKeys, other), s.outside)
	s.addRefused("own keys inside", s.sampleKeys(refusedKeys, own), s.inside, leaseGrace)
	s.addRefused("other keys inside", s.sampleKeys(refusedKeys, other), s.inside, cutGrace)
	return nil
}

// choosePeers selects the controller of the service in the first data centre and another
// entry VM there. All entry VMs must go on serving all keys that are looked up.
func choosePeers(ctx context.Context, s *caseState) error {
	controller, err := s.controller(ctx)
	if err != nil {
		return err
	}
	centre, found := s.dataCentre(), false
	s.splitEntries(func(e *fleet.Entry) bool {
		other := !found && e.DataCentre == centre && e.Name != controller
		found = found || other
		return other || e.Name == controller
	})
	all := func(*fleet.Server) bool { return true }
	s.addUninterrupted("all keys inside", s.sampleKeys(servedKeys, func(b *fleet.Server) bool { return b.DataCentre == centre }), s.inside)
	s.addUninterrupted("all keys outside", s.sampleKeys(servedKeys, all), s.outside)
	return nil
}

// dataCentre returns the data centre in which the cut happens: the first.
func (s *caseState) dataCentre() string {
	return s.trial.Fleet.Entries[0].DataCentre
}

// controller returns the name of the entry VM that controls the service in the first data centre.
func (s *caseState) controller(ctx context.Context) (string, error) {
	return s.trial.Fleet.Controller(ctx, s.service.Name, s.dataCentre())
}

// leasedServers returns the set of servers for which an entry VM holds the lease.
func (s *caseState) leasedServers(ctx context.Context, entry string) (map[string]bool, error) {
	servers, err := s.trial.Fleet.LeasedServers(ctx, s.service.Name, s.dataCentre(), entry)
	if err != nil {
		return nil, err
	}
	leasedServers := make(map[string]bool, len(servers))
	for _, name := range servers {
		leasedServers[name] = true
	}
	return leasedServers, nil
}
