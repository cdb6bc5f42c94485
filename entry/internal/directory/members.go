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
	d.publish(now)
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

// recount computes the lists of members again.
func (d *draft) recount(s *store, now time.Time) {
	d.stale, d.changed = false, true
	d.members, d.live = nil, map[string][]control.Member{}
	for b := range s.items {
		for _, i := range s.items[b] {
			if i.member != nil && !i.expired(now) {
				d.members = append(d.members, *i.member)
			}
		}
	}
	slices.SortFunc(d.members, func(a, b control.Announcement) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	for _, a := range d.members {
		_, marked := d.leaving[a.Member.Name]
		if !a.Silent && !a.Leaving && !marked {
			d.live[a.Member.DataCentre] = append(d.live[a.Member.DataCentre], a.Member)
		}
	}
}
