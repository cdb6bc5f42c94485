package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
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

// Controller returns the name of the entry VM that controls a service in a data centre.
func (f *Fleet) Controller(ctx context.Context, service, centre string) (string, error) {
	var r successionJSON
	if err := f.decode(ctx, "successions/"+service+"@"+centre, &r); err != nil {
		return "", err
	}
	if len(r.Members) == 0 {
		return "", eris.Errorf("succession record of %s@%s has no members", service, centre)
	}
	return r.Members[0].Name, nil
}

// Held returns the servers of a service in a data centre for which an entry VM has the leases.
func (f *Fleet) Held(ctx context.Context, service, centre, entry string) ([]string, error) {
	var t tableJSON
	if err := f.decode(ctx, "assignments/"+service+"@"+centre, &t); err != nil {
		return nil, err
	}
	var held []string
	for _, p := range t.Placements {
		if p.Leaseholder.Name == entry {
			held = append(held, p.Upstream)
		}
	}
	return held, nil
}

// decode reads a platform object that must exist.
func (f *Fleet) decode(ctx context.Context, name string, value any) error {
	content, version, err := f.Get(ctx, name)
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
