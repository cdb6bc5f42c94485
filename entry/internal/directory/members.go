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
	d.self.SequenceNumber++
	d.put(now, memberItem(d.self))
	d.publish()
}

// SelfAnnouncement returns the latest announcement of this member.
func (d *Directory) SelfAnnouncement() control.Announcement {
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
	return a.Silent && now.Sub(a.SilentSince) >= hideSilentAfter
}

// putMember replaces or inserts an announcement.
func (ps *pendingSnapshot) putMember(a control.Announcement) {
	ps.copySharedMembers()
	i, known := ps.findMember(a.Member.Name)
	if known {
		ps.members[i] = a
	} else {
		ps.members = slices.Insert(ps.members, i, a)
	}
	ps.liveStale = true
}

// removeMember removes the announcement of a member whose report of silence has expired.
func (ps *pendingSnapshot) removeMember(name string) {
	if i, known := ps.findMember(name); known {
		ps.copySharedMembers()
		ps.members = slices.Delete(ps.members, i, i+1)
		ps.liveStale = true
	}
}

func (ps *pendingSnapshot) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(ps.members, name, func(a control.Announcement, name string) int {
		return cmp.Compare(a.Member.Name, name)
	})
}

// copySharedMembers copies the list of members if it is part of a published snapshot, which must not change.
func (ps *pendingSnapshot) copySharedMembers() {
	if !ps.membersOwned {
		ps.members, ps.membersOwned = slices.Clone(ps.members), true
	}
}

// recomputeLive computes which members are live and whether this one must watch the platform.
func (ps *pendingSnapshot) recomputeLive(self control.Member) {
	ps.liveStale, ps.changed = false, true
	ps.live = map[string][]control.Member{}
	for _, a := range ps.members {
		_, marked := ps.leaving[a.Member.Name]
		if !a.Silent && !a.Leaving && !marked {
			ps.live[a.Member.DataCentre] = append(ps.live[a.Member.DataCentre], a.Member)
		}
	}
	ps.watchesPlatform = shouldWatch(self, ps.live[self.DataCentre])
}
