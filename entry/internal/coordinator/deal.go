package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/place"
)

const (
	// coldSpeed is the speed of a server that has just started, in relation to its later one.
	coldSpeed = 0.5
	// mostSilent is the share of servers above which the coordinator takes itself for the one
	// that is cut off, and moves nothing.
	mostSilent = 0.5
	// hotTolerance and evenTolerance are the utilisations in relation to the mean above which a
	// server gives keys away, by the load of the last second and of the last seconds.
	hotTolerance  = 1.3
	evenTolerance = 1.1
)

// deal gives keys without a usable owner to other servers and evens out the load.
func (c *Coordinator) deal(now time.Time, d Demand) {
	if len(c.shares) == 0 {
		c.begin(now)
	}
	orphans := c.hasOrphans(now)
	if len(c.shares) == 0 || !orphans && now.Before(c.nextPlan) || c.Isolated(now) {
		return
	}
	c.nextPlan = now.Add(planInterval)
	lives, servers := c.candidates(now, d)
	if len(servers) == 0 {
		return
	}
	ranges := c.ranges(now, lives)
	prefix, samples := d.Recent(now)
	tolerance := hotTolerance
	if !now.Before(c.nextEven) {
		c.nextEven = now.Add(evenInterval)
		prefix, samples = d.Steady(now)
		tolerance = evenTolerance
	}
	noise := 1.0
	if samples > 0 {
		noise = 1 / math.Sqrt(samples/float64(len(servers)))
	}
	for _, m := range place.Plan(servers, ranges, prefix, place.Limits{Tolerance: tolerance, Noise: min(noise, 1)}) {
		c.move(now, m.Keys, lives[m.To])
	}
}

// begin makes the first share of a service without a table, which belongs to nobody.
func (c *Coordinator) begin(now time.Time) {
	if len(c.servers) == 0 {
		c.since = now
		return
	}
	if now.Sub(c.since) < firstDealDelay {
		return
	}
	c.generation++
	c.shares = []*share{{keys: keyspace.Range{Last: keyspace.Last}, generation: c.generation}}
}

// orphan reports whether a share at rest needs another owner.
func (c *Coordinator) orphan(now time.Time, s *share) bool {
	if s.target != nil {
		return !c.inUse(s.target.server.Life) && !s.target.busy
	}
	if len(s.holders) != 1 {
		return true
	}
	h := s.holders[0]
	return !c.inUse(h.server.Life) || c.silent(now, h.server.Life)
}

func (c *Coordinator) hasOrphans(now time.Time) bool {
	return slices.ContainsFunc(c.shares, func(s *share) bool { return c.orphan(now, s) })
}

// Isolated reports whether so many servers are silent that the fault is on this side.
func (c *Coordinator) Isolated(now time.Time) bool {
	silent := 0
	for l := range c.servers {
		if c.silent(now, l) {
			silent++
		}
	}
	return silent > 0 && float64(silent) > mostSilent*float64(len(c.servers))
}

// candidates returns the servers that may get keys, in a fixed order.
func (c *Coordinator) candidates(now time.Time, d Demand) ([]ownership.Server, []place.Server) {
	var lives []ownership.Server
	for l, s := range c.servers {
		if !s.Draining && !c.silent(now, l) {
			lives = append(lives, ownership.Server{Life: l, Address: s.Address.String()})
		}
	}
	slices.SortFunc(lives, func(a, b ownership.Server) int { return cmp.Compare(a.ID, b.ID) })
	servers := make([]place.Server, len(lives))
	for i, l := range lives {
		s := c.servers[l.Life]
		speed := d.Speed(l.Life)
		if now.Before(s.WarmAt) {
			speed *= coldSpeed
		}
		servers[i].Capacity = float64(s.Slots) * speed
	}
	return lives, servers
}

// ranges returns the shares as the planner sees them.
func (c *Coordinator) ranges(now time.Time, lives []ownership.Server) []place.Range {
	places := make(map[registry.Life]int, len(lives))
	for i, l := range lives {
		places[l.Life] = i
	}
	out := make([]place.Range, 0, len(c.shares))
	for _, s := range c.shares {
		r := place.Range{Range: s.keys, Owner: -1}
		switch {
		case c.orphan(now, s):
		case s.target != nil:
			r.Owner, r.Fixed = places[s.target.server.Life], true
		default:
			i, ok := places[s.holders[0].server.Life]
			if !ok {
				r.Fixed = true
				break
			}
			r.Owner, r.Fixed = i, s.holders[0].busy || !s.holders[0].adopted || s.generation > c.stored
		}
		out = append(out, r)
	}
	return out
}

// move starts to bring keys to a server; they lie in one share.
func (c *Coordinator) move(now time.Time, keys keyspace.Range, to ownership.Server) {
	i := c.find(keys.First)
	s := c.shares[i]
	if s.target != nil && s.target.busy {
		return
	}
	if slices.ContainsFunc(s.holders, func(h *holder) bool { return h.busy }) && s.keys != keys {
		return
	}
	if keys.First > s.keys.First {
		rest := s.split(keys.First - 1)
		c.shares = slices.Insert(c.shares, i+1, rest)
		s = rest
		i++
	}
	if keys.Last < s.keys.Last {
		c.shares = slices.Insert(c.shares, i+1, s.split(keys.Last))
	}
	cause, from := c.cause(now, s)
	for _, h := range s.holders {
		h.next = now
	}
	// A former target without an answer may hold the keys.
	if s.target != nil && !s.target.heldUntil.IsZero() {
		s.holders = append(s.holders, s.target)
	}
	s.target = &holder{server: to, next: now}
	c.generation++
	s.generation = c.generation
	c.decide(Decision{What: Moving, Keys: s.keys, Server: to, From: from, Cause: cause})
}
