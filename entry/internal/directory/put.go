package directory

import (
	"strings"
	"time"

	"bramleystand.org/entry/internal/control"
)

// PutObject stores a version of a platform object and returns true, unless the same or
// a newer version is known. Objects that do not belong in the directory are ignored.
func (d *Directory) PutObject(now time.Time, o control.Object) bool {
	if strings.HasPrefix(o.Name, control.TablePrefix) {
		return d.putTableObject(now, o)
	}
	if !isReplicated(o.Name) {
		return false
	}
	return d.putAndPublish(now, objectItem(o))
}

// putTableObject stores the table that a platform object holds. Tables are replicated as
// tables and not as objects, so that a version that the controller has already put here is
// not sent a second time.
func (d *Directory) putTableObject(now time.Time, o control.Object) bool {
	if o.Deleted {
		return false
	}
	t, err := control.DecodeTable(o.Value)
	if err != nil || control.TablePrefix+t.Pair.String() != o.Name {
		return false
	}
	return d.PutTable(now, t)
}

// PutTable stores a routing table unless the same or a newer one of its pair is known. The
// table must not be changed afterwards.
func (d *Directory) PutTable(now time.Time, t control.Table) bool {
	return d.putAndPublish(now, tableItem(t))
}

// PutSuspect stores a suspect entry unless it has expired or the same or a newer one is known.
func (d *Directory) PutSuspect(now time.Time, s control.Suspect) bool {
	return d.putAndPublish(now, suspectItem(s))
}

func (d *Directory) putAndPublish(now time.Time, i item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.put(now, i) {
		return false
	}
	d.publish()
	return true
}

// put stores a newer item and adds it to the next snapshot, which publish makes visible.
func (d *Directory) put(now time.Time, i item) bool {
	if i.member != nil && i.member.Member.Same(d.self.Member) && i.version.Newer(memberItem(d.self).version) {
		// Another member reports this one as silent; a higher sequence number refutes it.
		d.self.SequenceNumber = i.member.SequenceNumber + 1
		i = memberItem(d.self)
	}
	if !d.store.put(now, i) {
		return false
	}
	switch {
	case i.object != nil:
		d.pendingSnapshot.putObject(*i.object)
	case i.table != nil:
		d.pendingSnapshot.putTable(i.table)
	case i.member != nil:
		d.pendingSnapshot.putMember(*i.member)
	}
	return true
}

// removeExpired removes expired items and publishes the change.
func (d *Directory) removeExpired(now time.Time) {
	for _, i := range d.store.removeExpired(now) {
		if i.member != nil {
			d.pendingSnapshot.removeMember(i.member.Member.Name)
		}
	}
	d.publish()
}
