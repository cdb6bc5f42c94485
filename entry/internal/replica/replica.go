// Package replica turns the objects of the platform's store into the view of the process, and
// keeps the objects for processes that start while the store can't be reached.
//
// # Usage
//
//	r := replica.New(view, kinds, logger)
//	follow.New(store, platform.KindServers, r.Sink(platform.KindServers), logger).Run(ctx)
package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

// KindTables is the kind of the tables of key owners, one object for each service.
const KindTables = "bramleystand-tables"

const (
	// returnTime is how long after an outage of the store a missing entry is waited for: a
	// server that lives is back within about two seconds.
	returnTime = 2200 * time.Millisecond
)

// Replica is a copy of the store's objects. It is safe for concurrent use; its lock comes
// before that of the view.
type Replica struct {
	view   *view.View
	logger log.Interface

	mu      sync.Mutex
	objects map[string]map[string]platform.Object
	// tables are the tables whose objects have no data.
	tables  map[string]*ownership.Table
	servers map[string]registry.Server
	// order has the names of the servers in the order in which the view keeps them, because sorting
	// some hundred servers at each change takes longer than the rest.
	order []string
	// missing has the servers whose entries were found missing after an outage, with the time
	// at which they count as gone.
	missing map[string]time.Time
	lost    time.Time
	// changes are the latest changes of the followed kinds; the first has the number dropped.
	changes []report.Object
	dropped uint64
	// marks are the marks of the kinds that have not changed since they were asked for; each
	// process that follows the coordinator has it look at them four times a second.
	marks  map[string]report.Mark
	listed map[string]bool
}

// New returns an empty replica that fills a view.
func New(v *view.View, logger log.Interface) *Replica {
	return &Replica{
		view: v, logger: logger,
		objects: make(map[string]map[string]platform.Object),
		tables:  make(map[string]*ownership.Table),
		servers: make(map[string]registry.Server),
		missing: make(map[string]time.Time),
		marks:   make(map[string]report.Mark),
		listed:  make(map[string]bool),
	}
}

// Sink returns the sink of one kind.
func (r *Replica) Sink(kind string) *Sink { return &Sink{replica: r, kind: kind} }

// Listed reports whether a list of the kind has been read from the store.
func (r *Replica) Listed(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[kind]
}

// Objects returns all objects, for a process that starts.
func (r *Replica) Objects() []report.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []report.Object
	for kind, objects := range r.objects {
		for _, o := range objects {
			if t := r.tables[o.Name]; kind == KindTables && o.Data == nil && t != nil {
				data, err := ownership.Encode(t)
				if err != nil {
					r.logger.WithError(err).Error("table not passed on")
					continue
				}
				o.Data = data
			}
			out = append(out, report.Object{Kind: kind, Name: o.Name, Revision: o.Revision, Data: o.Data})
		}
	}
	return out
}

// LoadSnapshot takes over the objects of another process, except those of kinds that this process has
// already read from the store.
func (r *Replica) LoadSnapshot(now time.Time, objects []report.Object) {
	byKind := make(map[string][]platform.Object)
	for _, o := range objects {
		byKind[o.Kind] = append(byKind[o.Kind], platform.Object{Name: o.Name, Revision: o.Revision, Data: o.Data})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, list := range byKind {
		if !r.listed[kind] {
			r.reset(now, kind, list)
		}
	}
}

// StoreTable takes a table that is newer than the copy. It is encoded when another process asks
// for the objects, which is rare, while tables change often.
func (r *Replica) StoreTable(t *ownership.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.objects[KindTables][t.Service]; ok && have.Revision >= t.Revision {
		return
	}
	if r.objects[KindTables] == nil {
		r.objects[KindTables] = make(map[string]platform.Object)
	}
	r.objects[KindTables][t.Service] = platform.Object{Name: t.Service, Revision: t.Revision}
	r.tables[t.Service] = t
	r.view.SetTable(t)
}

// Mark tells how far the copy of a kind goes.
func (r *Replica) Mark(kind string) report.Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.marks[kind]; ok {
		return m
	}
	m := report.Mark{Kind: kind, Count: len(r.objects[kind])}
	for _, o := range r.objects[kind] {
		m.Revision = max(m.Revision, o.Revision)
	}
	r.marks[kind] = m
	return m
}

// Tick lets servers go whose entries have not come back after an outage.
func (r *Replica) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, gone := range r.missing {
		if !now.Before(gone) {
			delete(r.missing, name)
			delete(r.servers, name)
			changed = true
		}
	}
	if changed {
		r.publish(now)
	}
}

// reset replaces all objects of a kind. The lock is held.
func (r *Replica) reset(now time.Time, kind string, list []platform.Object) {
	next := make(map[string]platform.Object, len(list))
	for _, o := range list {
		next[o.Name] = o
	}
	old := r.objects[kind]
	delete(r.marks, kind)
	r.objects[kind] = next
	for name, o := range old {
		if _, ok := next[name]; !ok {
			r.keep(kind, o, true)
			r.removed(now, kind, name)
		}
	}
	for name, o := range next {
		if had, ok := old[name]; !ok || had.Revision != o.Revision {
			r.keep(kind, o, false)
		}
		r.changed(now, kind, o)
	}
	if kind == platform.KindServers {
		r.publish(now)
	}
}

// apply takes changes of a kind. The lock is held.
func (r *Replica) apply(now time.Time, kind string, events []platform.Event) {
	delete(r.marks, kind)
	if r.objects[kind] == nil {
		r.objects[kind] = make(map[string]platform.Object)
	}
	for _, e := range events {
		if e.Deleted {
			if o, ok := r.objects[kind][e.Name]; ok {
				r.keep(kind, o, true)
			}
			delete(r.objects[kind], e.Name)
			r.removed(now, kind, e.Name)
			continue
		}
		r.objects[kind][e.Name] = e.Object
		r.keep(kind, e.Object, false)
		r.changed(now, kind, e.Object)
	}
	if kind == platform.KindServers {
		r.publish(now)
	}
}

// changed decodes an object. One that can't be read changes nothing but for a server, whose
// entry then names no server.
func (r *Replica) changed(now time.Time, kind string, o platform.Object) {
	switch {
	case kind == platform.KindServers:
		r.server(now, o)
	case kind == platform.KindConfiguration && o.Name == platform.NameConfiguration:
		c, err := platform.DecodeConfiguration(o.Data)
		if err != nil {
			r.logger.WithError(err).Error("configuration refused; the previous one stays in force")
			return
		}
		if r.view.SetConfiguration(c) {
			r.logger.WithField("version", c.Version).WithField("routes", c.Routes()).Info("configuration in force")
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

func (r *Replica) server(now time.Time, o platform.Object) {
	s, err := platform.DecodeServer(now, o)
	if err != nil {
		r.logger.WithError(err).Warn("entry names no server")
		delete(r.servers, o.Name)
		return
	}
	delete(r.missing, o.Name)
	if old, ok := r.servers[o.Name]; ok && old.Life == s.Life {
		// The entry tells the rest of the warm-up at the time of its last change only.
		s.WarmAt = old.WarmAt
	}
	r.servers[o.Name] = s
}

func (r *Replica) removed(now time.Time, kind, name string) {
	if kind != platform.KindServers {
		return
	}
	if _, ok := r.servers[name]; !ok {
		return
	}
	if now.Sub(r.lost) < returnTime {
		r.missing[name] = r.lost.Add(returnTime)
		return
	}
	delete(r.servers, name)
}

// publish gives the list of servers to the view. The lock is held.
func (r *Replica) publish(now time.Time) {
	if len(r.order) != len(r.servers) || !r.ordered() {
		r.order = slices.Sorted(maps.Keys(r.servers))
	}
	list := make([]registry.Server, 0, len(r.order))
	for _, name := range r.order {
		list = append(list, r.servers[name])
	}
	r.view.SetServers(now, list)
}

// ordered reports whether the order has the names of all servers.
func (r *Replica) ordered() bool {
	for _, name := range r.order {
		if _, ok := r.servers[name]; !ok {
			return false
		}
	}
	return true
}

// Sink takes the objects of one kind.
type Sink struct {
	replica *Replica
	kind    string
}

// Reset implements follow.Sink.
func (s *Sink) Reset(now time.Time, objects []platform.Object) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.listed[s.kind] = true
	s.replica.reset(now, s.kind, objects)
}

// Apply implements follow.Sink.
func (s *Sink) Apply(now time.Time, events []platform.Event) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.apply(now, s.kind, events)
}

// Lost implements follow.Sink.
func (s *Sink) Lost(now time.Time) { s.replica.NoteLoss(now) }
