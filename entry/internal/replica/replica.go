// Package replica keeps a copy of the objects of the platform's store. It decodes them into the view of
// the process, and provides them to processes that start while the store can't be reached and to those
// that follow the coordinator.
//
// # Usage
//
//	r := replica.New(view, logger)
//	follow.New(store, platform.KindServers, r.Sink(platform.KindServers), watchTimeout, logger).Run(ctx)
package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

// KindTables is the kind of the objects that hold the ownership tables, one per service.
const KindTables = "bramleystand-tables"

const (
	// outageGrace is how long after an outage of the store a server stays in use although its entry is
	// missing: a server that is alive is registered again within about two seconds.
	outageGrace = 2200 * time.Millisecond
)

// Replica is a copy of the store's objects. It is safe for concurrent use; its lock is acquired before
// that of the view.
type Replica struct {
	view   *view.View
	logger log.Interface

	mu      sync.Mutex
	objects map[string]map[string]platform.Object
	servers map[string]registry.Server
	// sortedNames holds the names of the servers in the order in which the view keeps them. It is
	// cached because sorting some hundred servers at each change takes longer than the rest of the
	// update.
	sortedNames []string
	// missing holds the servers whose entries were missing after an outage, with the time at which
	// they are removed.
	missing map[string]time.Time
	// departed holds the latest state of instances that were removed or replaced.
	departed map[registry.Instance]departure
	// returning holds the departed instances that have an outdated entry in the store, by ID.
	returning map[string]returningServer
	// lastOutage is when the store was last known to be unreachable.
	lastOutage time.Time
	// changes holds the latest changes of all kinds but KindTables. The position of the first one is
	// droppedChanges, the number of older changes that are no longer kept.
	changes        []report.Object
	droppedChanges uint64
	// copyVersions caches the version of each kind until the kind changes, because the coordinator
	// needs the versions four times a second for each process that follows it.
	copyVersions map[string]report.CopyVersion
	// listed holds the kinds that have been listed from the store.
	listed map[string]bool
	// evacuationGrace is how long requests for their keys are sent to the servers of an evacuated data centre.
	evacuationGrace time.Duration
	// configurationRevision is the revision of the last valid configuration that was received.
	configurationRevision uint64
}

// New returns an empty replica that updates a view.
func New(v *view.View, logger log.Interface) *Replica {
	return &Replica{
		view: v, logger: logger,
		objects:      make(map[string]map[string]platform.Object),
		servers:      make(map[string]registry.Server),
		missing:      make(map[string]time.Time),
		departed:     make(map[registry.Instance]departure),
		returning:    make(map[string]returningServer),
		copyVersions: make(map[string]report.CopyVersion),
		listed:       make(map[string]bool),
	}
}

// SetEvacuationGrace sets for how long requests for their keys are sent to the servers of a data centre after
// the operator has asked for its evacuation. It must be called before the objects of that kind are read.
func (r *Replica) SetEvacuationGrace(grace time.Duration) { r.evacuationGrace = grace }

// Sink returns the sink for the objects of one kind.
func (r *Replica) Sink(kind string) *Sink { return &Sink{replica: r, kind: kind} }

// Listed reports whether the objects of the kind have been listed from the store.
func (r *Replica) Listed(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[kind]
}

// AllObjects returns all objects, for a process that starts while the store can't be reached. The
// tables are those of the view, because the store may list older ones after it was restored.
func (r *Replica) AllObjects() []report.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []report.Object
	for _, t := range r.view.Tables() {
		data, err := ownership.Encode(t)
		if err != nil {
			r.logger.WithError(err).Error("table not encoded; it is omitted from a snapshot")
			continue
		}
		out = append(out, report.Object{Kind: KindTables, Name: t.Service, Revision: t.Revision, Data: data})
	}
	for kind, objects := range r.objects {
		if kind == KindTables {
			continue
		}
		for _, o := range objects {
			out = append(out, report.Object{Kind: kind, Name: o.Name, Revision: o.Revision, Data: o.Data})
		}
	}
	return out
}

// LoadSnapshot takes over the objects of another process, except those of kinds that this process has
// already read from the store or of which it has a later copy.
func (r *Replica) LoadSnapshot(now time.Time, objects []report.Object) {
	byKind := make(map[string][]platform.Object)
	for _, o := range objects {
		byKind[o.Kind] = append(byKind[o.Kind], platform.Object{Name: o.Name, Revision: o.Revision, Data: o.Data})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, list := range byKind {
		// The view orders tables by their terms.
		outdated := kind != KindTables && versionOf(kind, list).Behind(r.copyVersion(kind))
		if !r.listed[kind] && !outdated {
			r.reset(now, kind, list)
		}
	}
}

// UpdateTable replaces the copy of a table if the given one is newer. The table is encoded only
// when another process asks for the objects, because that is rare while tables change often.
func (r *Replica) UpdateTable(t *ownership.Table) { r.view.SetTable(t) }

// CopyVersion returns how up to date the copy of a kind is.
func (r *Replica) CopyVersion(kind string) report.CopyVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyVersion(kind)
}

// copyVersion is CopyVersion with the lock held.
func (r *Replica) copyVersion(kind string) report.CopyVersion {
	m, ok := r.copyVersions[kind]
	if !ok {
		m = versionOf(kind, slices.Collect(maps.Values(r.objects[kind])))
		r.copyVersions[kind] = m
	}
	return m
}

// versionOf returns the version of a copy with the given objects.
func versionOf(kind string, objects []platform.Object) report.CopyVersion {
	m := report.CopyVersion{Kind: kind, Count: len(objects)}
	for _, o := range objects {
		m.Revision = max(m.Revision, o.Revision)
	}
	return m
}

// RemoveMissingServers removes the servers whose entries have not reappeared in time after an outage,
// and ends the waits for departed servers whose entries have stayed in the store.
func (r *Replica) RemoveMissingServers(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, removeAt := range r.missing {
		if !now.Before(removeAt) {
			delete(r.missing, name)
			r.removeServer(now, name, false)
			changed = true
		}
	}
	if r.admitReturning(now) {
		changed = true
	}
	r.forgetDepartures(now)
	if changed {
		r.publishServers(now)
	}
}

// reset replaces all objects of a kind by a list. The lock is held.
func (r *Replica) reset(now time.Time, kind string, list []platform.Object) {
	next := make(map[string]platform.Object, len(list))
	for _, o := range list {
		next[o.Name] = o
	}
	old := r.objects[kind]
	delete(r.copyVersions, kind)
	r.objects[kind] = next
	for name, o := range old {
		if _, ok := next[name]; !ok {
			r.recordChange(kind, o, true)
			r.handleRemoval(now, kind, name)
		}
	}
	for name, o := range next {
		if previous, ok := old[name]; !ok || previous.Revision != o.Revision {
			r.recordChange(kind, o, false)
		}
		r.handleChange(now, kind, o)
	}
	r.publish(now, kind)
}

// apply applies changes of a kind. The lock is held.
func (r *Replica) apply(now time.Time, kind string, events []platform.Event) {
	delete(r.copyVersions, kind)
	if r.objects[kind] == nil {
		r.objects[kind] = make(map[string]platform.Object)
	}
	for _, e := range events {
		if e.Deleted {
			if o, ok := r.objects[kind][e.Name]; ok {
				r.recordChange(kind, o, true)
			}
			delete(r.objects[kind], e.Name)
			r.handleRemoval(now, kind, e.Name)
			continue
		}
		r.objects[kind][e.Name] = e.Object
		r.recordChange(kind, e.Object, false)
		r.handleChange(now, kind, e.Object)
	}
	r.publish(now, kind)
}

// handleChange decodes a new or changed object and updates the view. An object that can't be decoded
// changes nothing, except that a server with such an entry is removed. The lock is held.
func (r *Replica) handleChange(now time.Time, kind string, o platform.Object) {
	switch {
	case kind == platform.KindServers:
		r.updateServer(now, o)
	case kind == platform.KindConfiguration && o.Name == platform.NameConfiguration:
		c, err := platform.DecodeConfiguration(o.Data)
		if err != nil {
			r.logger.WithError(err).Error("configuration refused; the previous one stays in force")
			return
		}
		fields := log.Fields{"version": c.Version, "routes": c.RouteCount(), "revision": revision.Revision(o.Revision).String()}
		known := o.Revision == r.configurationRevision
		r.configurationRevision = o.Revision
		if r.view.SetConfiguration(c) {
			r.logger.WithFields(fields).Info("configuration in force")
		} else if !known {
			r.logger.WithFields(fields).Info("configuration is not newer than the one in force")
		}
	case kind == KindTables:
		t, err := ownership.Decode(o.Name, o.Revision, o.Data)
		if err != nil {
			r.logger.WithError(err).Error("table refused; the previous one stays in force")
			return
		}
		r.view.SetTable(t)
	}
}

// updateServer decodes the entry of a server. The lock is held.
func (r *Replica) updateServer(now time.Time, o platform.Object) {
	s, err := platform.DecodeServer(now, o)
	if err != nil {
		r.logger.WithError(err).Warn("server entry refused; the server is removed")
		delete(r.returning, o.Name)
		r.removeServer(now, o.Name, false)
		return
	}
	if d, ok := r.departed[s.Instance]; ok {
		if d.outdates(s) {
			r.holdBack(now, s)
			return
		}
		delete(r.departed, s.Instance)
		s = latest(d.server, s)
	}
	delete(r.returning, o.Name)
	delete(r.missing, o.Name)
	old, ok := r.servers[o.Name]
	switch {
	case ok && old.Instance == s.Instance:
		next := latest(old, s)
		if next.Draining != s.Draining {
			r.logger.WithFields(log.Fields{"server": s.ID, "incarnation": s.Incarnation, "sequence": s.Sequence, "known": old.Sequence}).Info("server stays draining; an outdated entry is ignored")
		}
		s = next
	case ok:
		r.removeServer(now, o.Name, true)
	}
	r.servers[o.Name] = s
}

// handleRemoval removes a server whose entry is gone, but not yet if the entry may be missing
// because of an outage. The lock is held.
func (r *Replica) handleRemoval(now time.Time, kind, name string) {
	if kind != platform.KindServers {
		return
	}
	delete(r.returning, name)
	if _, ok := r.servers[name]; !ok {
		return
	}
	if now.Sub(r.lastOutage) < outageGrace {
		r.missing[name] = r.lastOutage.Add(outageGrace)
		return
	}
	r.removeServer(now, name, true)
}

// publish passes the objects of a kind to the view that are passed on together. The lock is held.
func (r *Replica) publish(now time.Time, kind string) {
	switch kind {
	case platform.KindServers:
		r.publishServers(now)
	case platform.KindEvacuations:
		r.publishEvacuations(now)
	}
}

// publishEvacuations passes the evacuated data centres to the view. An object that can't be decoded counts
// too, because its name is all that matters. The lock is held.
func (r *Replica) publishEvacuations(now time.Time) {
	begun, ended := r.view.SetEvacuations(now, slices.Sorted(maps.Keys(r.objects[platform.KindEvacuations])), r.evacuationGrace)
	servers := make(map[string]int)
	for _, s := range r.servers {
		servers[s.DataCentre]++
	}
	for _, c := range begun {
		r.logger.WithFields(log.Fields{"centre": c, "servers": servers[c]}).Info("evacuation of data centre begins")
		if servers[c] == 0 {
			r.logger.WithField("centre", c).Warn("evacuation names a data centre without servers")
		}
	}
	for _, c := range ended {
		r.logger.WithFields(log.Fields{"centre": c, "servers": servers[c]}).Info("evacuation of data centre has ended")
	}
}

// publishServers passes the list of servers to the view. The lock is held.
func (r *Replica) publishServers(now time.Time) {
	if len(r.sortedNames) != len(r.servers) || !r.sortedNamesKnown() {
		r.sortedNames = slices.Sorted(maps.Keys(r.servers))
	}
	list := make([]registry.Server, 0, len(r.sortedNames))
	for _, name := range r.sortedNames {
		list = append(list, r.servers[name])
	}
	r.view.SetServers(now, list)
}

// sortedNamesKnown reports whether each of the sorted names still is that of a server.
func (r *Replica) sortedNamesKnown() bool {
	for _, name := range r.sortedNames {
		if _, ok := r.servers[name]; !ok {
			return false
		}
	}
	return true
}

// Sink passes the objects of one kind to a replica. It implements follow.Sink.
type Sink struct {
	replica *Replica
	kind    string
}

// Reset replaces all objects of the kind.
func (s *Sink) Reset(now time.Time, objects []platform.Object) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.listed[s.kind] = true
	s.replica.reset(now, s.kind, objects)
}

// ResetEmpty takes over a list that may be old, unless there are objects of the kind already.
func (s *Sink) ResetEmpty(now time.Time, objects []platform.Object) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.listed[s.kind] = true
	if len(s.replica.objects[s.kind]) == 0 {
		s.replica.reset(now, s.kind, objects)
	}
}

// Apply applies changes in their order.
func (s *Sink) Apply(now time.Time, events []platform.Event) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.apply(now, s.kind, events)
}

// RecordOutage records that the store could not be read at the given time.
func (s *Sink) RecordOutage(now time.Time) { s.replica.NoteOutage(now) }
