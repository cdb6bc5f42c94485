package configuration

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
)

// Bounds of the values of a service.
const (
	// MaxShards keeps a routing table with all shards below the platform's limit of 1 MB per object.
	MaxShards      = 65536
	maxSlots       = 10000
	maxConnections = 10000
)

// Validate reports all values that are not allowed.
func (s *Service) Validate() error {
	var p problems
	p.checkName("name", s.Name)
	if s.Shards == 0 || s.Shards > MaxShards || bits.OnesCount32(s.Shards) != 1 {
		p.reject("shards", s.Shards, fmt.Sprintf("a power of two from 1 to %d", MaxShards))
	}
	if len(s.Upstreams) == 0 {
		p.reject("upstreams", "an empty list", "at least one upstream")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, u := range s.Upstreams {
		u.validate(&p, fmt.Sprintf("upstreams[%d]", i), names, addresses)
	}
	s.validateHomes(&p)
	return p.join()
}

func (u *Upstream) validate(p *problems, path string, names, addresses map[string]bool) {
	p.checkName(path+".name", u.Name)
	p.checkName(path+".centre", u.DataCentre)
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		p.reject(path+".address", u.Address, "an IP address with a port other than 0")
	}
	p.checkRange(path+".slots", u.Slots, 1, maxSlots)
	p.checkRange(path+".connections", u.Connections, 1, maxConnections)
	if names[u.Name] {
		p.reject(path+".name", strconv.Quote(u.Name), "a name that no other upstream has")
	}
	if addresses[u.Address.String()] {
		p.reject(path+".address", u.Address, "an address that no other upstream has")
	}
	names[u.Name], addresses[u.Address.String()] = true, true
}

// validateHomes checks that the ranges contain every shard exactly once and that each of their
// data centres has an upstream, because its shards would have no server otherwise.
func (s *Service) validateHomes(p *problems) {
	byFirstShard := make([]int, len(s.Homes))
	for i, h := range s.Homes {
		byFirstShard[i] = i
		path := fmt.Sprintf("homes[%d]", i)
		p.checkName(path+".centre", h.DataCentre)
		hasUpstream := slices.ContainsFunc(s.Upstreams, func(u Upstream) bool { return u.DataCentre == h.DataCentre })
		if !hasUpstream && len(s.Upstreams) > 0 {
			p.reject(path+".centre", strconv.Quote(h.DataCentre), "a data centre that has an upstream of this service")
		}
		if h.First > h.Last {
			p.reject(path+".last", h.Last, fmt.Sprintf("%d or more, the first shard of the range", h.First))
		}
	}
	slices.SortFunc(byFirstShard, func(a, b int) int { return cmp.Compare(s.Homes[a].First, s.Homes[b].First) })
	nextShard := uint64(0)
	for _, i := range byFirstShard {
		h := s.Homes[i]
		if uint64(h.First) != nextShard {
			p.reject(fmt.Sprintf("homes[%d].first", i), h.First,
				fmt.Sprintf("%d, so that every shard has exactly one home", nextShard))
		}
		nextShard = max(nextShard, uint64(h.Last)+1)
	}
	if nextShard != uint64(s.Shards) {
		p.reject("homes", fmt.Sprintf("an end at shard %d", int64(nextShard)-1),
			fmt.Sprintf("ranges that end at shard %d, so that every shard has exactly one home", int64(s.Shards)-1))
	}
}
