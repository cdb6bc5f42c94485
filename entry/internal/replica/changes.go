package replica

import (
	"time"

	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// mostChanges bounds the changes that are kept for processes that lag behind; a process that
// lags further reads the list from the store.
const mostChanges = 1024

// keep remembers a change of a kind that other processes follow. The lock is held.
func (r *Replica) keep(kind string, o platform.Object, deleted bool) {
	if kind == KindTables {
		// Tables are sent as differences.
		return
	}
	if len(r.changes) == mostChanges {
		r.changes = r.changes[1:]
		r.dropped++
	}
	r.changes = append(r.changes, report.Object{Kind: kind, Name: o.Name, Revision: o.Revision, Data: o.Data, Deleted: deleted})
}

// Position returns the number of changes so far.
func (r *Replica) Position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped + uint64(len(r.changes))
}

// Since returns the changes after a position, and the new position. Those that are no longer
// kept are left out.
func (r *Replica) Since(position uint64) ([]report.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.dropped + uint64(len(r.changes))
	first := max(position, r.dropped)
	out := append([]report.Object(nil), r.changes[first-r.dropped:]...)
	return out, end
}

// Newer returns the objects of a kind that another process, whose copy goes as far as a mark,
// may lack.
func (r *Replica) Newer(m report.Mark) []report.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []report.Object
	for _, o := range r.objects[m.Kind] {
		if o.Revision > m.Revision {
			out = append(out, report.Object{Kind: m.Kind, Name: o.Name, Revision: o.Revision, Data: o.Data})
		}
	}
	return out
}

// Take uses changes that another process has seen, except those to objects of which the copy
// has newer ones.
func (r *Replica) Take(now time.Time, changes []report.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make(map[string][]platform.Event)
	revisions := make(map[string]uint64, len(changes))
	for _, o := range changes {
		key := o.Kind + "/" + o.Name
		have, ok := revisions[key]
		if !ok {
			have = r.objects[o.Kind][o.Name].Revision
		}
		if o.Revision < have || o.Revision == have && !o.Deleted {
			continue
		}
		revisions[key] = o.Revision
		events[o.Kind] = append(events[o.Kind], platform.Event{Object: platform.Object{Name: o.Name, Revision: o.Revision, Data: o.Data}, Deleted: o.Deleted})
	}
	for kind, list := range events {
		r.apply(now, kind, list)
	}
}

// NoteLoss notes that the store could not be reached at a time. Entries that are missing shortly
// after it count as lapsed, not as removed.
func (r *Replica) NoteLoss(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.lost) {
		r.lost = at
	}
}

// Loss returns when the store could last not be reached, or zero.
func (r *Replica) Loss() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
