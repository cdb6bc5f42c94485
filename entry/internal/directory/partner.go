package directory

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	// contactWindow is how long after a successful exchange with any member failed exchanges
	// count. A member that reaches no other is itself cut off and must not report the others.
	contactWindow = 2 * time.Second
	// reconnectOneIn makes one in this many exchanges go to a silent member or to a seed that is not
	// known as a member, so that the sides of a network partition find each other again after it.
	reconnectOneIn = 16
)

// contacts records the outcome of the latest exchanges that this member has started.
type contacts struct {
	lastReached time.Time
	// failed holds the members whose latest exchange failed, with the announcement known then.
	failed map[string]control.Announcement
}

// PickPartner picks a member for an exchange, of the own data centre if ownCentre is set and
// otherwise of another one. A member whose latest exchange failed is tried again first. A
// seed that is not known as a member has only an address.
func (d *Directory) PickPartner(ownCentre bool) (control.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live, silent []int
	for i, a := range d.pendingSnapshot.members {
		if (a.Member.DataCentre == d.self.Member.DataCentre) != ownCentre || a.Member.Name == d.self.Member.Name {
			continue
		}
		if known, ok := d.contacts.failed[a.Member.Name]; ok {
			if known == a {
				return a.Member, true
			}
			delete(d.contacts.failed, a.Member.Name)
		}
		if a.Silent {
			silent = append(silent, i)
		} else {
			live = append(live, i)
		}
	}
	if d.random.IntN(reconnectOneIn) == 0 || len(live) == 0 {
		if reconnectPartner, ok := d.reconnectPartner(silent); ok {
			return reconnectPartner, true
		}
	}
	if len(live) == 0 {
		return control.Member{}, false
	}
	return d.pendingSnapshot.members[live[d.random.IntN(len(live))]].Member, true
}

// reconnectPartner picks a seed that is not known as a member or one of the silent members with the given indexes.
func (d *Directory) reconnectPartner(silent []int) (control.Member, bool) {
	seeds := d.unknownSeeds()
	if len(silent)+len(seeds) == 0 {
		return control.Member{}, false
	}
	n := d.random.IntN(len(silent) + len(seeds))
	if n < len(seeds) {
		return seeds[n], true
	}
	return d.pendingSnapshot.members[silent[n-len(seeds)]].Member, true
}

// unknownSeeds returns the seeds whose address no member has.
func (d *Directory) unknownSeeds() []control.Member {
	var unknown []control.Member
	for _, s := range d.seeds {
		hasAddress := func(a control.Announcement) bool { return a.Member.Address == s }
		if !slices.ContainsFunc(d.pendingSnapshot.members, hasAddress) {
			unknown = append(unknown, control.Member{Address: s})
		}
	}
	return unknown
}

// ExchangeSucceeded records that an exchange with a member succeeded.
func (d *Directory) ExchangeSucceeded(now time.Time, m control.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.lastReached = now
	delete(d.contacts.failed, m.Name)
}

// ExchangeFailed records that an exchange with a member failed. After the second failure in a row the member is reported
// as silent; a single lost message must not change the set of live members.
func (d *Directory) ExchangeFailed(now time.Time, m control.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.store.get(itemKey("member", m.Name))
	if !ok || i.member.Silent || !i.member.Member.Same(m) {
		return
	}
	if known, failedBefore := d.contacts.failed[m.Name]; !failedBefore || known != *i.member {
		d.contacts.failed[m.Name] = *i.member
		return
	}
	delete(d.contacts.failed, m.Name)
	if now.Sub(d.contacts.lastReached) >= contactWindow {
		return
	}
	report := *i.member
	report.Silent, report.SilentSince = true, now
	d.put(now, memberItem(report))
	d.publish()
}
