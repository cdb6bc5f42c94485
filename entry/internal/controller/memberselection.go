package controller

import (
	"slices"

	"bramleystand.org/entry/internal/control"
	"github.com/cespare/xxhash/v2"
)

// replaceOneMember returns the members with at most one of them replaced, added or removed.
func (c *Controller) replaceOneMember(members []control.Member) []control.Member {
	preferredMembers := c.preferredMembers(c.self)
	replacements := slices.DeleteFunc(slices.Clone(preferredMembers), func(m control.Member) bool {
		return slices.ContainsFunc(members, func(o control.Member) bool { return o.Name == m.Name && o.Incarnation >= m.Incarnation })
	})
	if len(replacements) == 0 {
		return c.removeOneMember(members)
	}
	next := slices.Clone(members)
	for i, m := range next {
		if m.Same(c.self) {
			continue
		}
		remote := m.DataCentre != c.pair.DataCentre && replacements[0].DataCentre == c.pair.DataCentre
		if c.isGone(m) || c.leavingVMs[m.Name] || !slices.ContainsFunc(c.liveVMs, m.Same) || remote {
			next = append(slices.Delete(next, i, i+1), replacements[0])
			return next
		}
	}
	if len(next) < memberCount {
		return append(next, replacements[0])
	}
	return next
}

// preferredMembers returns up to three live entry VMs in the order of a rendezvous hash, the given one first and those
// of the pair's data centre before others.
func (c *Controller) preferredMembers(firstMember control.Member) []control.Member {
	list := slices.DeleteFunc(slices.Clone(c.liveVMs), func(m control.Member) bool {
		return c.leavingVMs[m.Name] || c.removedVMs[m.Name] || m.Same(firstMember)
	})
	weight := func(m control.Member) uint64 { return xxhash.Sum64String(c.pair.String() + "/" + m.Name) }
	slices.SortStableFunc(list, func(a, b control.Member) int {
		if x, y := a.DataCentre == c.pair.DataCentre, b.DataCentre == c.pair.DataCentre; x != y {
			if x {
				return -1
			}
			return 1
		}
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
	list = append([]control.Member{firstMember}, list...)
	return list[:min(len(list), memberCount)]
}

// moveToFront returns the members with firstMember moved to the front if it is one of them.
func moveToFront(members []control.Member, firstMember control.Member) []control.Member {
	i := slices.IndexFunc(members, firstMember.Same)
	if i <= 0 {
		return members
	}
	next := slices.Concat(members[i:i+1], members[:i], members[i+1:])
	return next
}

// removeOneMember removes a member that is about to stop, or has stopped for good, when no other VM can
// replace it. It must be removed while it can still acknowledge the change: if one of two members
// stops, the other has no majority.
func (c *Controller) removeOneMember(members []control.Member) []control.Member {
	for i, m := range members {
		if !m.Same(c.self) && (c.leavingVMs[m.Name] || c.isGone(m)) {
			return slices.Delete(slices.Clone(members), i, i+1)
		}
	}
	return members
}
