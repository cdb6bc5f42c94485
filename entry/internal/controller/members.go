package controller

import (
	"slices"

	"bramleystand.org/entry/internal/control"
	"github.com/cespare/xxhash/v2"
)

// replaceOne returns the members with at most one of them replaced or added.
func (c *Controller) replaceOne(members []control.Member) []control.Member {
	ranked := c.ranked(c.self)
	fresh := slices.DeleteFunc(slices.Clone(ranked), func(m control.Member) bool {
		return slices.ContainsFunc(members, func(o control.Member) bool { return o.Name == m.Name && o.Incarnation >= m.Incarnation })
	})
	if len(fresh) == 0 {
		return c.dropOne(members)
	}
	next := slices.Clone(members)
	for i, m := range next {
		if m.Same(c.self) {
			continue
		}
		away := m.DataCentre != c.pair.DataCentre && fresh[0].DataCentre == c.pair.DataCentre
		if c.gone(m) || c.leaving[m.Name] || !slices.ContainsFunc(c.live, m.Same) || away {
			next = append(slices.Delete(next, i, i+1), fresh[0])
			return next
		}
	}
	if len(next) < memberCount {
		return append(next, fresh[0])
	}
	return next
}

// ranked returns up to three live entry VMs by rendezvous hash, the given one first and those of the data centre before others.
func (c *Controller) ranked(lead control.Member) []control.Member {
	list := slices.DeleteFunc(slices.Clone(c.live), func(m control.Member) bool {
		return c.leaving[m.Name] || c.removed[m.Name] || m.Same(lead)
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
	list = append([]control.Member{lead}, list...)
	return list[:min(len(list), memberCount)]
}

// first returns the members with lead moved to the front if it is one of them.
func first(members []control.Member, lead control.Member) []control.Member {
	i := slices.IndexFunc(members, lead.Same)
	if i <= 0 {
		return members
	}
	next := slices.Concat(members[i:i+1], members[:i], members[i+1:])
	return next
}

// dropOne removes a member that is about to stop, or has stopped for good, when nobody can replace
// it. It must be dropped while it can still acknowledge the change: two members lose their majority
// with one of them.
func (c *Controller) dropOne(members []control.Member) []control.Member {
	for i, m := range members {
		if !m.Same(c.self) && (c.leaving[m.Name] || c.gone(m)) {
			return slices.Delete(slices.Clone(members), i, i+1)
		}
	}
	return members
}
