package controller

import (
	"slices"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// nextFence returns a fence that no lease had before.
func (c *Controller) nextFence() fence.Fence {
	c.fences++
	return fence.New(c.term, c.fences)
}

// wanted returns the names of the configured upstreams of a data centre that are not leaving.
func wanted(service *configuration.Service, dataCentre string, leaving map[string]bool) []string {
	var names []string
	if service == nil {
		return nil
	}
	for _, u := range service.Upstreams {
		if u.DataCentre == dataCentre && !leaving[u.Name] {
			names = append(names, u.Name)
		}
	}
	slices.Sort(names)
	return names
}

// eligible reports whether an upstream may own shards.
func (c *Controller) eligible(name string) bool {
	if u := c.upstreams[name]; u != nil && u.state == control.Failed || c.leaving[name] {
		return false
	}
	_, ok := slices.BinarySearch(c.wanted, name)
	return ok || c.service == nil
}

// configured reports whether the service has the upstream, leaving or not.
func (c *Controller) configured(name string) bool {
	return slices.ContainsFunc(c.service.Upstreams, func(u configuration.Upstream) bool {
		return u.Name == name && u.DataCentre == c.pair.DataCentre
	})
}

// placeAll proposes the first table of the pair. The set of shards is never changed afterwards.
func (c *Controller) placeAll(now time.Time) {
	upstreams := c.wanted
	var members []control.Member
	for _, m := range c.live {
		if m.DataCentre == c.pair.DataCentre && !c.leaving[m.Name] {
			members = append(members, m)
		}
	}
	if len(upstreams) == 0 || len(members) == 0 {
		return
	}
	placements := make([]control.Placement, len(upstreams))
	for i, name := range upstreams {
		placements[i] = control.Placement{Upstream: name, Leaseholder: members[i%len(members)], Fence: c.nextFence(), Revision: 1}
	}
	n := 0
	for s := range shard.Shard(c.service.Shards) {
		if c.service.HomeOf(s) == c.pair.DataCentre {
			p := &placements[n%len(placements)]
			p.Shards = append(p.Shards, s)
			n++
		}
	}
	c.propose(now, placements, false)
}
