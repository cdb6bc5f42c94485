package directory

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	// missesUntilSilent is the number of failed exchanges in a row after which a member
	// is reported as silent; a single lost message must not change the set of live members.
	// contactFor is the time after a successful exchange during which misses count. A
	// member that reaches nobody is itself cut off and must not report the others.
	contactFor = 2 * time.Second
	// strayOneIn is how often an exchange goes to a silent member or to a seed that is no
	// live member, through which parts of the fleet find each other again after a partition.
	strayOneIn = 16
)

// contacts remembers the latest exchanges of this member.
type contacts struct {
	reached time.Time
	// missed holds members that did not answer the last exchange with them.
	missed map[string]control.Announcement
}

// Partner picks a member of the own or of another data centre for an exchange. A seed
// that is not known as a member has only an address.
func (d *Directory) Partner(own bool) (control.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live, silent []int
	for i, a := range d.draft.members {
		if (a.Member.DataCentre == d.self.Member.DataCentre) != own || a.Member.Name == d.self.Member.Name {
			continue
		}
		if missed, ok := d.contacts.missed[a.Member.Name]; ok {
			if missed == a {
				return a.Member, true
			}
			delete(d.contacts.missed, a.Member.Name)
		}
		if a.Silent {
			silent = append(silent, i)
		} else {
			live = append(live, i)
		}
	}
	if d.random.IntN(strayOneIn) == 0 || len(live) == 0 {
		if stray, ok := d.stray(silent); ok {
			return stray, true
		}
	}
	if len(live) == 0 {
		return control.Member{}, false
	}
	return d.draft.members[live[d.random.IntN(len(live))]].Member, true
}

// stray picks one of the silent members with the given indexes or an unknown seed.
func (d *Directory) stray(silent []int) (control.Member, bool) {
	seeds := d.unknownSeeds()
	if len(silent)+len(seeds) == 0 {
		return control.Member{}, false
	}
	n := d.random.IntN(len(silent) + len(seeds))
	if n < len(seeds) {
		return seeds[n], true
	}
	return d.draft.members[silent[n-len(seeds)]].Member, true
}

// unknownSeeds returns the seeds whose addresses are not those of members.
func (d *Directory) unknownSeeds() []control.Member {
	var unknown []control.Member
	for _, s := range d.seeds {
		hasAddress := func(a control.Announcement) bool { return a.Member.Address == s }
		if !slices.ContainsFunc(d.draft.members, hasAddress) {
			unknown = append(unknown, control.Member{Address: s})
		}
	}
	return unknown
}

// Reached notes that an exchange with a member succeeded.
func (d *Directory) Reached(now time.Time, m control.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.reached = now
	delete(d.contacts.missed, m.Name)
}

// Missed notes that a member did not answer. The second miss in a row reports it as silent; a
// single lost message must not change the set of live members.
func (d *Directory) Missed(now time.Time, m control.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.store.get(keyOf("member", m.Name))
	if !ok || i.member.Silent || !i.member.Member.Same(m) {
		return
	}
	if missed, again := d.contacts.missed[m.Name]; !again || missed != *i.member {
		d.contacts.missed[m.Name] = *i.member
		return
	}
	delete(d.contacts.missed, m.Name)
	if now.Sub(d.contacts.reached) >= contactFor {
		return
	}
	report := *i.member
	report.Silent, report.Since = true, now
	d.put(now, memberItem(report))
	d.publish()
}
