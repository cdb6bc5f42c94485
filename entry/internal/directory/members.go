package directory

import (
	"cmp"
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

// hideSilentAfter is how long Members still returns a member that is silent.
const hideSilentAfter = 30 * time.Second

// Announce tells the other members whether this one is about to stop.
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

// Members returns all members ordered by name, without those that have been silent for 30 s.
func (d *Directory) Members(now time.Time) []control.Announcement {
	var visible []control.Announcement
	for _, a := range d.snapshot.Load().members {
		if !isHidden(a, now) {
			visible = append(visible, a)
		}
	}
	return visible
}

// Live returns the members of a data centre that are neither silent nor leaving, ordered
// by name. The slice must not be changed.
func (d *Directory) Live(centre string) []control.Member {
	return d.snapshot.Load().live[centre]
}

func isHidden(a control.Announcement, now time.Time) bool {
	return a.Silent && now.Sub(a.Since) >= hideSilentAfter
}

// putMember replaces or inserts an announcement.
func (d *pendingSnapshot) putMember(a control.Announcement) {
	d.copySharedMembers()
	i, known := d.findMember(a.Member.Name)
	if known {
		d.members[i] = a
	} else {
		d.members = slices.Insert(d.members, i, a)
	}
	d.liveStale = true
}

// removeMember removes the announcement of a member whose report of silence has expired.
func (d *pendingSnapshot) removeMember(name string) {
	if i, known := d.findMember(name); known {
		d.copySharedMembers()
		d.members = slices.Delete(d.members, i, i+1)
		d.liveStale = true
	}
}

func (d *pendingSnapshot) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(d.members, name, func(a control.Announcement, name string) int {
		return cmp.Compare(a.Member.Name, name)
	})
}

// copySharedMembers copies the list of members if it is part of a published snapshot, which must not change.
func (d *pendingSnapshot) copySharedMembers() {
	if !d.membersOwned {
		d.members, d.membersOwned = slices.Clone(d.members), true
	}
}

// recomputeLive computes which members are live and whether this one must watch the platform.
func (d *pendingSnapshot) recomputeLive(self control.Member) {
	d.liveStale, d.changed = false, true
	d.live = map[string][]control.Member{}
	for _, a := range d.members {
		_, marked := d.leaving[a.Member.Name]
		if !a.Silent && !a.Leaving && !marked {
			d.live[a.Member.DataCentre] = append(d.live[a.Member.DataCentre], a.Member)
		}
	}
	d.watchesPlatform = shouldWatch(self, d.live[self.DataCentre])
}
