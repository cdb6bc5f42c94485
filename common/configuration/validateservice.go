package configuration

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
)

// Limits of a service.
const (
	// MaxShards keeps a routing table with all shards below the platform's 1 MB per object.
	MaxShards      = 65536
	maxSlots       = 10000
	maxConnections = 10000
)

// Validate reports all values that are not allowed.
func (s *Service) Validate() error {
	var p problems
	p.name("name", s.Name)
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

func (u *Upstream) validate(p *problems, at string, names, addresses map[string]bool) {
	p.name(at+".name", u.Name)
	p.name(at+".centre", u.DataCentre)
	if !u.Address.IsValid() || u.Address.Port() == 0 {
		p.reject(at+".address", u.Address, "an IP address with a port other than 0")
	}
	p.between(at+".slots", u.Slots, 1, maxSlots)
	p.between(at+".connections", u.Connections, 1, maxConnections)
	if names[u.Name] {
		p.reject(at+".name", strconv.Quote(u.Name), "a name that no other upstream has")
	}
	if addresses[u.Address.String()] {
		p.reject(at+".address", u.Address, "an address that no other upstream has")
	}
	names[u.Name], addresses[u.Address.String()] = true, true
}

// validateHomes checks that the ranges hold every shard exactly once and that each
// data centre among them has an upstream, without which its shards have no server.
func (s *Service) validateHomes(p *problems) {
	order := make([]int, len(s.Homes))
	for i, h := range s.Homes {
		order[i] = i
		at := fmt.Sprintf("homes[%d]", i)
		p.name(at+".centre", h.DataCentre)
		hasUpstream := slices.ContainsFunc(s.Upstreams, func(u Upstream) bool { return u.DataCentre == h.DataCentre })
		if !hasUpstream && len(s.Upstreams) > 0 {
			p.reject(at+".centre", strconv.Quote(h.DataCentre), "a data centre that has an upstream of this service")
		}
		if h.First > h.Last {
			p.reject(at+".last", h.Last, fmt.Sprintf("%d or more, the first shard of the range", h.First))
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.Homes[a].First, s.Homes[b].First) })
	next := uint64(0)
	for _, i := range order {
		h := s.Homes[i]
		if uint64(h.First) != next {
			p.reject(fmt.Sprintf("homes[%d].first", i), h.First,
				fmt.Sprintf("%d, so that every shard has exactly one home", next))
		}
		next = max(next, uint64(h.Last)+1)
	}
	if next != uint64(s.Shards) {
		p.reject("homes", fmt.Sprintf("an end at shard %d", int64(next)-1),
			fmt.Sprintf("ranges that end at shard %d, so that every shard has exactly one home", int64(s.Shards)-1))
	}
}
