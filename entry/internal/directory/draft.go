package directory

import (
	"fmt"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

// draft is the snapshot to be published next.
type draft struct {
	snapshot
	// changed says whether the draft differs from the published snapshot.
	changed bool
	// rerouted lists the services whose routes have to be computed again.
	rerouted map[string]configuration.Service
	// owned says that no published snapshot shares the list of members.
	owned bool
	// stale says that live has to be computed again.
	stale bool
}

func newDraft() draft {
	return draft{snapshot: *newSnapshot(), rerouted: map[string]configuration.Service{}}
}

// isSpread reports whether an object of that name is taken from the platform.
func isSpread(name string) bool {
	_, isService := configuration.ServiceOf(name)
	_, isLeaving := configuration.LeavingOf(name)
	_, isSuccession := successionOf(name)
	return isService || isLeaving || isSuccession || name == configuration.PresetObject
}

// putObject puts a newer version of an object in force. An invalid version leaves the one before in force.
func (d *draft) putObject(o control.Object) {
	d.changed = true
	if err := d.apply(o); err != nil {
		d.problems[o.Name] = fmt.Errorf("directory: %s version %d: %w", o.Name, o.Version, err)
		return
	}
	delete(d.problems, o.Name)
	d.versions[o.Name] = o.Version
}

func (d *draft) apply(o control.Object) error {
	if name, ok := configuration.ServiceOf(o.Name); ok {
		return d.applyService(name, o)
	}
	if vm, ok := configuration.LeavingOf(o.Name); ok {
		return d.applyLeaving(vm, o)
	}
	if pair, ok := successionOf(o.Name); ok {
		return d.applySuccession(pair, o)
	}
	if o.Name == configuration.PresetObject {
		return d.applyPresets(o)
	}
	// Later programs may spread further objects. They are passed on without being used;
	// otherwise the hashes of members of different versions would never agree.
	return nil
}

func (d *draft) applyService(name string, o control.Object) error {
	if o.Deleted {
		delete(d.services, name)
		delete(d.rerouted, name)
		return nil
	}
	s, err := configuration.DecodeService(o.Value)
	if err != nil {
		return err
	}
	if s.Name != name {
		return fmt.Errorf("the object holds service %q", s.Name)
	}
	d.rerouted[name] = s
	return nil
}

func (d *draft) applyLeaving(vm string, o control.Object) error {
	d.stale = true
	if o.Deleted {
		delete(d.leaving, vm)
		return nil
	}
	l, err := configuration.DecodeLeaving(o.Value)
	if err != nil {
		return err
	}
	if l.VM != vm {
		return fmt.Errorf("the object marks VM %q", l.VM)
	}
	d.leaving[vm] = l
	return nil
}

func (d *draft) applySuccession(pair control.Pair, o control.Object) error {
	if o.Deleted {
		delete(d.successions, pair)
		return nil
	}
	s, err := control.DecodeSuccession(o.Value, o.Version)
	if err != nil {
		return err
	}
	if s.Pair != pair {
		return fmt.Errorf("the object holds the record of %s", s.Pair)
	}
	d.successions[pair] = s
	return nil
}

// applyPresets keeps the last presets when the object was deleted, because there is always one in force.
func (d *draft) applyPresets(o control.Object) error {
	if o.Deleted {
		return nil
	}
	p, err := configuration.DecodePresets(o.Value)
	if err != nil {
		return err
	}
	preset, ok := p.InForce()
	if !ok {
		return fmt.Errorf("preset %q is not among the presets", p.Active)
	}
	d.preset, d.active = preset, p.Active
	return nil
}

func (d *draft) putTable(t *control.Table) {
	d.changed = true
	d.tables[t.Pair] = t
	if s, ok := d.services[t.Pair.Service]; ok {
		if _, waits := d.rerouted[t.Pair.Service]; !waits {
			d.rerouted[t.Pair.Service] = s.Service
		}
	}
}

// reroute computes the routes of the services that have changed.
func (d *draft) reroute() {
	for name, s := range d.rerouted {
		d.services[name] = newService(s, d.tables)
	}
	clear(d.rerouted)
}
