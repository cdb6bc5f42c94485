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
	// warmupSpeed is the speed of a server that has just started, relative to its full speed.
	warmupSpeed = 0.5
	// serversPerTrial is the number of servers for each one that a plan gives keys to try whether it
	// answers again.
	serversPerTrial = 16
	// maxSilentFraction is the fraction of silent servers above which the coordinator assumes that
	// it is itself cut off, and moves no keys.
	maxSilentFraction = 0.5
	// recentTolerance and steadyTolerance are the utilisations relative to the mean above which a
	// server gives keys away, by the load of the last second and by that of the last seconds.
	recentTolerance = 1.3
	steadyTolerance = 1.1
)

// rebalance assigns keys without a usable owner to other servers and evens out the load.
func (c *Coordinator) rebalance(now time.Time, d Demand) {
	if len(c.ranges) == 0 {
		c.createInitialRange(now)
	}
	unowned := c.anyNeedsOwner(now)
	next := c.nextPlan
	if unowned {
		next = c.nextUrgentPlan
	}
	if len(c.ranges) == 0 || now.Before(next) || c.IsIsolated(now) {
		return
	}
	c.nextPlan, c.nextUrgentPlan = now.Add(planInterval), now.Add(urgentPlanInterval)
	c.plans++
	eligible, servers := c.candidates(now, d)
	if len(servers) == 0 {
		return
	}
	ranges := c.plannerRanges(now, eligible)
	prefix, samples := d.RecentLoad(now)
	tolerance := recentTolerance
	if !now.Before(c.nextSteadyPlan) {
		c.nextSteadyPlan = now.Add(steadyPlanInterval)
		prefix, samples = d.SteadyLoad(now)
		tolerance = steadyTolerance
	}
	noise := 1.0
	if samples > 0 {
		noise = 1 / math.Sqrt(samples/float64(len(servers)))
	}
	for _, m := range place.Plan(servers, ranges, prefix, place.Limits{Tolerance: tolerance, Noise: min(noise, 1)}) {
		to := eligible[m.To]
		if c.health[to.Instance].unproven && c.isTarget(to.Instance) {
			continue
		}
		c.startMove(now, m.Keys, to)
	}
}

// createInitialRange creates a range of all keys without an owner, for a service that has no table.
func (c *Coordinator) createInitialRange(now time.Time) {
	if len(c.servers) == 0 {
		c.serversSince = now
		return
	}
	waited := now.Sub(c.serversSince)
	if waited < initialAssignmentDelay || waited < maxInitialAssignmentDelay && now.Sub(c.serversGrew) < settledTime {
		return
	}
	c.generation++
	c.ranges = []*rangeState{{keys: keyspace.Range{Last: keyspace.Last}, generation: c.generation}}
}

// needsOwner reports whether the range needs a new owner or target, because it has none or because
// the present one is unusable or silent.
func (c *Coordinator) needsOwner(now time.Time, s *rangeState) bool {
	if s.target != nil {
		return !c.isUsable(s.target.server.Instance) && !s.target.callPending
	}
	if len(s.holders) != 1 {
		return true
	}
	h := s.holders[0]
	return !c.isUsable(h.server.Instance) || c.isSilent(now, h.server.Instance) && !c.unverified[h.server.Instance]
}

func (c *Coordinator) anyNeedsOwner(now time.Time) bool {
	return slices.ContainsFunc(c.ranges, func(s *rangeState) bool { return c.needsOwner(now, s) })
}

// IsIsolated reports whether so many servers are silent that the coordinator is probably cut off
// itself.
func (c *Coordinator) IsIsolated(now time.Time) bool {
	silent := 0
	for inst := range c.servers {
		if c.isSilent(now, inst) {
			silent++
		}
	}
	return silent > 0 && float64(silent) > maxSilentFraction*float64(len(c.servers))
}

// candidates returns the servers that may get keys, ordered by ID, and their capacities for the
// planner.
func (c *Coordinator) candidates(now time.Time, d Demand) ([]ownership.Server, []place.Server) {
	var eligible []ownership.Server
	var unproven []ownership.Server
	for l, s := range c.servers {
		switch server := (ownership.Server{Instance: l, Address: s.Address.String()}); {
		case s.Draining || c.isSilent(now, l):
		case !c.health[l].unproven:
			eligible = append(eligible, server)
		case !c.health[l].trialPending && !c.isTarget(l):
			unproven = append(unproven, server)
		}
	}
	// Each server that hangs keeps the keys that it is tried with from others for as long as a grant
	// lasts.
	slices.SortFunc(unproven, func(a, b ownership.Server) int { return cmp.Compare(a.ID, b.ID) })
	eligible = append(eligible, unproven[:min(len(unproven), 1+len(eligible)/serversPerTrial)]...)
	slices.SortFunc(eligible, func(a, b ownership.Server) int { return cmp.Compare(a.ID, b.ID) })
	servers := make([]place.Server, len(eligible))
	for i, l := range eligible {
		s := c.servers[l.Instance]
		speed := d.Speed(l.Instance)
		if now.Before(s.WarmAt) {
			speed *= warmupSpeed
		}
		servers[i].Capacity = float64(s.Slots) * speed
		if load, ok := d.MaxLoad(now, l.Instance); ok {
			servers[i].Capacity = min(servers[i].Capacity, load)
		}
	}
	return eligible, servers
}

// isTarget reports whether keys move to a server.
func (c *Coordinator) isTarget(inst registry.Instance) bool {
	return slices.ContainsFunc(c.ranges, func(s *rangeState) bool { return s.target != nil && s.target.server.Instance == inst })
}

// plannerRanges returns the ranges in the planner's form.
func (c *Coordinator) plannerRanges(now time.Time, eligible []ownership.Server) []place.Range {
	indexes := make(map[registry.Instance]int, len(eligible))
	for i, l := range eligible {
		indexes[l.Instance] = i
	}
	out := make([]place.Range, 0, len(c.ranges))
	for _, s := range c.ranges {
		r := place.Range{Range: s.keys, Owner: -1}
		switch {
		case c.needsOwner(now, s):
		case s.target != nil:
			r.Fixed = true
			if i, ok := indexes[s.target.server.Instance]; ok {
				r.Owner = i
			}
		default:
			i, ok := indexes[s.holders[0].server.Instance]
			if !ok {
				r.Fixed = true
				break
			}
			r.Owner, r.Fixed = i, s.holders[0].callPending || !s.holders[0].fenceAccepted || s.generation > c.storedGeneration
		}
		out = append(out, r)
	}
	return out
}

// startMove starts to move keys, which lie within one range, to a server.
func (c *Coordinator) startMove(now time.Time, keys keyspace.Range, to ownership.Server) {
	i := c.indexOf(keys.First)
	s := c.ranges[i]
	if s.target != nil && s.target.callPending {
		return
	}
	if slices.ContainsFunc(s.holders, func(h *holder) bool { return h.callPending }) && s.keys != keys {
		return
	}
	if keys.First > s.keys.First {
		rest := s.splitAfter(keys.First - 1)
		c.ranges = slices.Insert(c.ranges, i+1, rest)
		s = rest
		i++
	}
	if keys.Last < s.keys.Last {
		c.ranges = slices.Insert(c.ranges, i+1, s.splitAfter(keys.Last))
	}
	reason, from := c.moveReason(now, s)
	for _, h := range s.holders {
		h.nextCall = now
	}
	// A former target that did not answer may hold the keys.
	if s.target != nil && !s.target.mayHoldUntil().IsZero() {
		s.holders = append(s.holders, s.target)
	}
	s.target = &holder{server: to, nextCall: now}
	c.generation++
	s.generation = c.generation
	c.recordEvent(Event{EventKind: EventMoving, Keys: s.keys, Server: to, From: from, MoveReason: reason})
}
