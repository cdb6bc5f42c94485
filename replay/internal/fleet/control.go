package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// successionJSON is the part of a succession record that names the entry VMs that may
// control a service in a data centre. The first member is the controller.
type successionJSON struct {
	Members []memberJSON `json:"members"`
}

// memberJSON names an entry VM.
type memberJSON struct {
	Name string `json:"name"`
}

// tableJSON is the part of a routing table stored on the platform that names leaseholders.
type tableJSON struct {
	Placements []placementJSON `json:"placements"`
}

// placementJSON names the entry VM that holds the lease of an upstream.
type placementJSON struct {
	Upstream    string     `json:"upstream"`
	Leaseholder memberJSON `json:"leaseholder"`
}

// Controller returns the name of the entry VM that controls a service in a data centre.
func (f *Fleet) Controller(ctx context.Context, service, dataCentre string) (string, error) {
	var r successionJSON
	if err := f.getJSON(ctx, "successions/"+service+"@"+dataCentre, &r); err != nil {
		return "", err
	}
	if len(r.Members) == 0 {
		return "", eris.Errorf("succession record of %s@%s has no members", service, dataCentre)
	}
	return r.Members[0].Name, nil
}

// LeasedServers returns the servers of a service in a data centre for which an entry VM holds the
// lease.
func (f *Fleet) LeasedServers(ctx context.Context, service, dataCentre, entry string) ([]string, error) {
	var t tableJSON
	if err := f.getJSON(ctx, "assignments/"+service+"@"+dataCentre, &t); err != nil {
		return nil, err
	}
	var servers []string
	for _, p := range t.Placements {
		if p.Leaseholder.Name == entry {
			servers = append(servers, p.Upstream)
		}
	}
	return servers, nil
}

// getJSON decodes an object on the platform into value; the object must exist.
func (f *Fleet) getJSON(ctx context.Context, name string, value any) error {
	content, version, err := f.Get(ctx, name)
	if err != nil {
		return err
	}
	if version == 0 {
		return eris.Errorf("object %s does not exist on the platform", name)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return fmt.Errorf("decode object %s: %w", name, err)
	}
	return nil
}
