package controller

import (
	"slices"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// nextFence returns a fence that no lease has had before.
func (c *Controller) nextFence() fence.Fence {
	c.fenceSequence++
	return fence.New(c.term, c.fenceSequence)
}

// activeUpstreams returns the sorted names of the configured upstreams of a data centre that are not leaving.
func activeUpstreams(service *configuration.Service, dataCentre string, leavingVMs map[string]bool) []string {
	var names []string
	if service == nil {
		return nil
	}
	for _, u := range service.Upstreams {
		if u.DataCentre == dataCentre && !leavingVMs[u.Name] {
			names = append(names, u.Name)
		}
	}
	slices.Sort(names)
	return names
}

// canOwnShards reports whether an upstream may own shards: it hasn't failed, isn't leaving and is configured.
// Without a configuration every upstream counts as configured.
func (c *Controller) canOwnShards(name string) bool {
	if u := c.upstreams[name]; u != nil && u.state == control.Failed || c.leavingVMs[name] {
		return false
	}
	_, ok := slices.BinarySearch(c.activeUpstreams, name)
	return ok || c.service == nil
}

// isConfigured reports whether the service has the upstream in this data centre, leaving or not.
func (c *Controller) isConfigured(name string) bool {
	return slices.ContainsFunc(c.service.Upstreams, func(u configuration.Upstream) bool {
		return u.Name == name && u.DataCentre == c.pair.DataCentre
	})
}

// proposeFirstTable proposes the first table of the pair, with shards and leaseholders assigned in turn. The set of
// shards never changes afterwards.
func (c *Controller) proposeFirstTable(now time.Time) {
	upstreams := c.activeUpstreams
	var members []control.Member
	for _, m := range c.liveVMs {
		if m.DataCentre == c.pair.DataCentre && !c.leavingVMs[m.Name] {
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
		if c.service.HomeDataCentre(s) == c.pair.DataCentre {
			p := &placements[n%len(placements)]
			p.Shards = append(p.Shards, s)
			n++
		}
	}
	c.propose(now, placements, false)
}
