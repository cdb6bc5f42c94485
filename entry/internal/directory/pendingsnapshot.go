package directory

import (
	"fmt"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

// pendingSnapshot is the snapshot to be published next, in which changes are collected.
type pendingSnapshot struct {
	snapshot
	// changed says whether anything has changed since the last published snapshot.
	changed bool
	// staleServices holds the services whose routes must be computed again.
	staleServices map[string]configuration.Service
	// membersOwned says that no published snapshot shares the list of members, so that it may be changed in place.
	membersOwned bool
	// liveStale says that live and watchesPlatform must be computed again.
	liveStale bool
}

func newPendingSnapshot() pendingSnapshot {
	return pendingSnapshot{snapshot: *newSnapshot(), staleServices: map[string]configuration.Service{}}
}

// isReplicated reports whether a platform object of that name belongs in the directory.
func isReplicated(name string) bool {
	_, isService := configuration.ServiceFromObject(name)
	_, isLeaving := configuration.VMFromObject(name)
	_, isSuccession := successionPair(name)
	return isService || isLeaving || isSuccession || name == configuration.PresetsObject
}

// putObject puts a newer version of an object in force. If it is invalid, the previous version stays in force.
func (ps *pendingSnapshot) putObject(o control.Object) {
	ps.changed = true
	if err := ps.applyObject(o); err != nil {
		ps.invalidObjects[o.Name] = fmt.Errorf("directory: %s version %d: %w", o.Name, o.Version, err)
		return
	}
	delete(ps.invalidObjects, o.Name)
	ps.versions[o.Name] = o.Version
}

func (ps *pendingSnapshot) applyObject(o control.Object) error {
	if name, ok := configuration.ServiceFromObject(o.Name); ok {
		return ps.applyService(name, o)
	}
	if vm, ok := configuration.VMFromObject(o.Name); ok {
		return ps.applyLeaving(vm, o)
	}
	if pair, ok := successionPair(o.Name); ok {
		return ps.applySuccession(pair, o)
	}
	if o.Name == configuration.PresetsObject {
		return ps.applyPresets(o)
	}
	// Newer releases may replicate further kinds of objects. They are passed on without being used,
	// because otherwise the hashes of members of different releases would never agree.
	return nil
}

func (ps *pendingSnapshot) applyService(name string, o control.Object) error {
	if o.Deleted {
		delete(ps.services, name)
		delete(ps.staleServices, name)
		return nil
	}
	s, err := configuration.DecodeService(o.Value)
	if err != nil {
		return err
	}
	if s.Name != name {
		return fmt.Errorf("the object holds service %q, not the one in its name", s.Name)
	}
	ps.staleServices[name] = s
	return nil
}

func (ps *pendingSnapshot) applyLeaving(vm string, o control.Object) error {
	ps.liveStale = true
	if o.Deleted {
		delete(ps.leaving, vm)
		return nil
	}
	l, err := configuration.DecodeLeaving(o.Value)
	if err != nil {
		return err
	}
	if l.VM != vm {
		return fmt.Errorf("the object marks VM %q as leaving, not the one in its name", l.VM)
	}
	ps.leaving[vm] = l
	return nil
}

func (ps *pendingSnapshot) applySuccession(pair control.Pair, o control.Object) error {
	if o.Deleted {
		delete(ps.successions, pair)
		return nil
	}
	s, err := control.DecodeSuccession(o.Value, o.Version)
	if err != nil {
		return err
	}
	if s.Pair != pair {
		return fmt.Errorf("the object holds the succession of %s, not of the pair in its name", s.Pair)
	}
	ps.successions[pair] = s
	return nil
}

// applyPresets keeps the previous preset when the object is deleted, because one must always be in force.
func (ps *pendingSnapshot) applyPresets(o control.Object) error {
	if o.Deleted {
		return nil
	}
	p, err := configuration.DecodePresets(o.Value)
	if err != nil {
		return err
	}
	preset, ok := p.ActivePreset()
	if !ok {
		return fmt.Errorf("active preset %q is not defined", p.Active)
	}
	ps.preset, ps.activePreset = preset, p.Active
	return nil
}

func (ps *pendingSnapshot) putTable(t *control.Table) {
	ps.changed = true
	ps.tables[t.Pair] = t
	if s, ok := ps.services[t.Pair.Service]; ok {
		if _, isStale := ps.staleServices[t.Pair.Service]; !isStale {
			ps.staleServices[t.Pair.Service] = s.Service
		}
	}
}

// recomputeRoutes computes the routes of the services that have changed or whose tables have.
func (ps *pendingSnapshot) recomputeRoutes() {
	for name, s := range ps.staleServices {
		ps.services[name] = newRoutedService(s, ps.tables)
	}
	clear(ps.staleServices)
}
