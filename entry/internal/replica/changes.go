package replica

import (
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// maxKeptChanges limits the changes that are kept for processes that lag behind. A process that lags
// further must list the objects from the store.
const maxKeptChanges = 1024

// recordChange keeps a change for the processes that follow this one. The lock is held.
func (r *Replica) recordChange(kind string, o platform.Object, deleted bool) {
	if kind == KindTables {
		// Changes of tables are not kept: tables are sent as differences to earlier ones.
		return
	}
	if len(r.changes) == maxKeptChanges {
		r.changes = r.changes[1:]
		r.droppedChanges++
	}
	r.changes = append(r.changes, report.Object{Kind: kind, Name: o.Name, Revision: o.Revision, Data: o.Data, Deleted: deleted})
}

// ChangePosition returns the position after the latest change, which is the number of changes so far.
func (r *Replica) ChangePosition() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedChanges + uint64(len(r.changes))
}

// Since returns the changes after a position, and the position after the last of them. Changes that are
// no longer kept are left out.
func (r *Replica) Since(position uint64) ([]report.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.droppedChanges + uint64(len(r.changes))
	first := max(position, r.droppedChanges)
	out := append([]report.Object(nil), r.changes[first-r.droppedChanges:]...)
	return out, end
}

// ObjectsAfter returns the objects of the kind with a revision above that of the given version,
// which a process whose copy has this version may lack.
func (r *Replica) ObjectsAfter(m report.CopyVersion) []report.Object {
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

// ApplyChanges applies changes received from another process, except those of objects of which the
// copy already has a newer revision.
func (r *Replica) ApplyChanges(now time.Time, changes []report.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make(map[string][]platform.Event)
	revisions := make(map[string]uint64, len(changes))
	for _, o := range changes {
		key := o.Kind + "/" + o.Name
		current, ok := revisions[key]
		if !ok {
			current = r.objects[o.Kind][o.Name].Revision
		}
		if o.Revision < current {
			r.logger.WithFields(log.Fields{
				"kind": o.Kind, "object": o.Name,
				"revision": revision.Revision(o.Revision).String(), "current": revision.Revision(current).String(),
			}).Info("change with an older revision not applied")
			continue
		}
		if o.Revision == current && !o.Deleted {
			continue
		}
		revisions[key] = o.Revision
		events[o.Kind] = append(events[o.Kind], platform.Event{Object: platform.Object{Name: o.Name, Revision: o.Revision, Data: o.Data}, Deleted: o.Deleted})
	}
	for kind, kindEvents := range events {
		r.apply(now, kind, kindEvents)
	}
}

// NoteOutage records that the store could not be reached at the given time. An entry that is
// missing shortly after an outage is taken to have expired during it, not to have been removed.
func (r *Replica) NoteOutage(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.lastOutage) {
		r.lastOutage = at
	}
}

// LastOutage returns the latest time at which the store could not be reached, or zero.
func (r *Replica) LastOutage() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOutage
}
