package faults

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/fleet"
)

// successionJSON is the platform's record of who may control a service in a data centre.
type successionJSON struct {
	Members []memberJSON `json:"members"`
}

type memberJSON struct {
	Name string `json:"name"`
}

// tableJSON is the platform's copy of a routing table.
type tableJSON struct {
	Placements []placementJSON `json:"placements"`
}

type placementJSON struct {
	Upstream    string     `json:"upstream"`
	Leaseholder memberJSON `json:"leaseholder"`
}

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
	var t tableJSON
	if err := s.object(ctx, "assignments/"+s.pair(), &t); err != nil {
		return err
	}
	var servers []string
	for _, p := range t.Placements {
		if p.Leaseholder.Name == e.Name {
			servers = append(servers, p.Upstream)
		}
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
	var r successionJSON
	if err := s.object(ctx, "successions/"+s.pair(), &r); err != nil {
		return "", err
	}
	if len(r.Members) == 0 {
		return "", eris.Errorf("succession record of %s has no members", s.pair())
	}
	return r.Members[0].Name, nil
}

// centre returns the data centre in which the event happens.
func (s *scene) centre() string {
	return s.trial.Fleet.Entries[0].DataCentre
}

func (s *scene) pair() string {
	return s.service.Name + "@" + s.centre()
}

func (s *scene) object(ctx context.Context, name string, value any) error {
	content, version, err := s.trial.Fleet.Get(ctx, name)
	if err != nil {
		return err
	}
	if version == 0 {
		return eris.Errorf("platform has no object %s", name)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return fmt.Errorf("object %s: %w", name, err)
	}
	return nil
}
