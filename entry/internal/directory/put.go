package directory

import (
	"strings"
	"time"

	"bramleystand.org/entry/internal/control"
)

// PutObject stores a version of a platform object unless a newer one is known.
// Objects that are not part of the directory are ignored.
func (d *Directory) PutObject(now time.Time, o control.Object) bool {
	if strings.HasPrefix(o.Name, control.TablePrefix) {
		return d.putTableObject(now, o)
	}
	if !isSpread(o.Name) {
		return false
	}
	return d.putOne(now, objectItem(o))
}

// putTableObject stores the table of a platform object. Tables are spread as such and
// not as objects, so a version that a controller has sent directly is not sent twice.
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

// PutTable stores a routing table unless a newer one of its pair is known. The table must
// not be changed afterwards.
func (d *Directory) PutTable(now time.Time, t control.Table) bool {
	return d.putOne(now, tableItem(t))
}

// PutSuspect stores a suspect entry unless a newer or expired one is known.
func (d *Directory) PutSuspect(now time.Time, s control.Suspect) bool {
	return d.putOne(now, suspectItem(s))
}

func (d *Directory) putOne(now time.Time, i item) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.put(now, i) {
		return false
	}
	d.publish()
	return true
}

// put stores a newer item and updates the working copy of the snapshot; publish makes it visible.
func (d *Directory) put(now time.Time, i item) bool {
	if i.member != nil && i.member.Member.Same(d.self.Member) && i.mark.Newer(memberItem(d.self).mark) {
		// Another member reports this one as silent.
		d.self.Beat = i.member.Beat + 1
		i = memberItem(d.self)
	}
	if !d.store.put(now, i) {
		return false
	}
	switch {
	case i.object != nil:
		d.draft.putObject(*i.object)
	case i.table != nil:
		d.draft.putTable(i.table)
	case i.member != nil:
		d.draft.putMember(*i.member)
	}
	return true
}

// expire removes what is too old to be kept.
func (d *Directory) expire(now time.Time) {
	for _, i := range d.store.expire(now) {
		if i.member != nil {
			d.draft.dropMember(i.member.Member.Name)
		}
	}
	d.publish()
}
