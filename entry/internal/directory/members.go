package directory

import (
	"cmp"
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// dropAfter is the time for which a silent member is still shown to users.
const dropAfter = 30 * time.Second

// Announce tells the others whether this member is about to stop.
func (d *Directory) Announce(now time.Time, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.self.Leaving == leaving {
		return
	}
	d.self.Leaving = leaving
	d.self.Beat++
	d.put(now, memberItem(d.self))
	d.publish()
}

// Self returns the latest announcement of this member.
func (d *Directory) Self() control.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Members returns all members in the order of their names, without those that have been silent for 30 s.
func (d *Directory) Members(now time.Time) []control.Announcement {
	var shown []control.Announcement
	for _, a := range d.snapshot.Load().members {
		if !isDropped(a, now) {
			shown = append(shown, a)
		}
	}
	return shown
}

// Live returns the members of a data centre that neither are silent nor leave, in the
// order of their names. The slice must not be changed.
func (d *Directory) Live(centre string) []control.Member {
	return d.snapshot.Load().live[centre]
}

func isDropped(a control.Announcement, now time.Time) bool {
	return a.Silent && now.Sub(a.Since) >= dropAfter
}

// putMember replaces or inserts an announcement.
func (d *draft) putMember(a control.Announcement) {
	d.ownMembers()
	i, known := d.find(a.Member.Name)
	if known {
		d.members[i] = a
	} else {
		d.members = slices.Insert(d.members, i, a)
	}
	d.stale = true
}

// dropMember removes the announcement of a forgotten member.
func (d *draft) dropMember(name string) {
	if i, known := d.find(name); known {
		d.ownMembers()
		d.members = slices.Delete(d.members, i, i+1)
		d.stale = true
	}
}

func (d *draft) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.members, name, func(a control.Announcement, name string) int {
		return cmp.Compare(a.Member.Name, name)
	})
}

// ownMembers copies the list of members if it is part of a published snapshot.
func (d *draft) ownMembers() {
	if !d.owned {
		d.members, d.owned = slices.Clone(d.members), true
	}
}

// recount computes again who is live and whether this member watches the platform.
func (d *draft) recount(self control.Member) {
	d.stale, d.changed = false, true
	d.live = map[string][]control.Member{}
	for _, a := range d.members {
		_, marked := d.leaving[a.Member.Name]
		if !a.Silent && !a.Leaving && !marked {
			d.live[a.Member.DataCentre] = append(d.live[a.Member.DataCentre], a.Member)
		}
	}
	d.watching = isWatcher(self, d.live[self.DataCentre])
}
