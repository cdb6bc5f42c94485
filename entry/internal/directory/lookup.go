package directory

import (
	"maps"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// Service returns a service; its slices must not be changed.
func (d *Directory) Service(name string) (configuration.Service, bool) {
	s, ok := d.snapshot.Load().services[name]
	if !ok {
		return configuration.Service{}, false
	}
	return s.Service, true
}

// Services returns all services by name.
func (d *Directory) Services() map[string]configuration.Service {
	all := map[string]configuration.Service{}
	for name, s := range d.snapshot.Load().services {
		all[name] = s.Service
	}
	return all
}

// Preset returns the preset in force. It is the built-in default until the presets of the platform are known.
func (d *Directory) Preset() configuration.Preset {
	return d.snapshot.Load().preset
}

// Leaving returns the mark with which an operator asked a VM to leave, if there is one.
func (d *Directory) Leaving(vm string) (configuration.Leaving, bool) {
	l, ok := d.snapshot.Load().leaving[vm]
	return l, ok
}

// Route returns the placement and the upstream that serve a shard. It returns false for
// an unknown service or shard and while no upstream owns the shard, as during a move. Of an
// upstream that was removed from the service, only the name and the data centre are set.
func (d *Directory) Route(service string, n shard.Shard) (control.Placement, configuration.Upstream, bool) {
	s, ok := d.snapshot.Load().services[service]
	if !ok || int(n) >= len(s.routes) || s.routes[n].placement == nil {
		return control.Placement{}, configuration.Upstream{}, false
	}
	r := s.routes[n]
	return *r.placement, *r.upstream, true
}

// Table returns the newest routing table of a pair; it must not be changed.
func (d *Directory) Table(pair control.Pair) (control.Table, bool) {
	t, ok := d.snapshot.Load().tables[pair]
	if !ok {
		return control.Table{}, false
	}
	return *t, true
}

// Tables returns the newest routing table of each pair.
func (d *Directory) Tables() map[control.Pair]control.Table {
	all := map[control.Pair]control.Table{}
	for pair, t := range d.snapshot.Load().tables {
		all[pair] = *t
	}
	return all
}

// Succession returns the newest succession record of a pair.
func (d *Directory) Succession(pair control.Pair) (control.Succession, bool) {
	s, ok := d.snapshot.Load().successions[pair]
	return s, ok
}

// Versions returns the version in force of each platform object by its name, including deleted objects.
func (d *Directory) Versions() map[string]int64 {
	return maps.Clone(d.snapshot.Load().versions)
}

// InvalidObjects returns, for each object whose newest version is invalid, why it is not in force.
func (d *Directory) InvalidObjects() map[string]error {
	return maps.Clone(d.snapshot.Load().invalidObjects)
}

// Suspects returns all suspect entries that have not expired.
func (d *Directory) Suspects(now time.Time) []control.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []control.Suspect
	for b := range d.store.items {
		for _, i := range d.store.items[b] {
			if i.suspect != nil && !i.isExpired(now) {
				all = append(all, *i.suspect)
			}
		}
	}
	return all
}
