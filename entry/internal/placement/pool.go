// Package placement selects the backend server on which a request is expected to end first.
//
// It is made for services whose requests may run on any of their servers, when servers differ in speed,
// slow down for fractions of a second, and a few requests take much longer than the others. An even or
// random choice then leaves requests waiting behind slow ones while other servers are free.
//
// A Pool is the ledger of the servers of one service in one data centre. It keeps what each server still
// has to do: the requests that run there with the time that they are expected to go on, those that wait,
// and what the server itself reports beside these. The expected time of a request is the cost of its class,
// learned from all servers, times the speed of the server, learned from all classes, times the present
// slowdown that the server reports. A request that has run for longer than expected is taken for one of
// the long ones, and its remaining time follows from how long such requests took lately.
//
// The choice is the least expected time until the end ("least work left" with the residual life of the
// running requests). Since one process keeps the ledger of a pool, hundreds of processes don't choose the
// same idle server at once, as they would with a copied figure. A Pool has no clock and is not safe for
// concurrent use.
//
// # Usage
//
//	p := placement.New()
//	p.SetServers(servers)
//	i, ok := p.Choose(now, placement.Request{Rank: rank, Objective: objective})
//	p.Start(now, i, id, rank)
//	p.End(now, i, id, placement.Outcome{ServiceTime: took})
package placement

import (
	"time"

	"bramleystand.org/common/registry"
)

const (
	// warmBonusDivisor sets the time by which a server without an open connection of the requesting process
	// must be faster: this part of the time until the objective, but at most maxWarmBonus. Within it a
	// request ends in time on either.
	warmBonusDivisor = 8
	maxWarmBonus     = 80 * time.Millisecond
	// fullPenalty is the part by which requests are expected to take longer on a server whose slots are all
	// busy than on an idle one.
	fullPenalty = 0.3
	// queuePenaltyDivisor sets the part of its time that a request which must wait for a slot is expected to take
	// longer than estimated.
	queuePenaltyDivisor = 2
	// newServerAdvantage divides the expected time on a server that has not run any request yet.
	newServerAdvantage = 2
	// failurePenalty multiplies the expected time on a server that fails all requests.
	failurePenalty = 4
)

// Pool is the ledger of the servers of a service that one process allocates.
type Pool struct {
	servers []*server
	byID    map[registry.Instance]*server
	costs   costs
}

// Request describes a request to be placed.
type Request struct {
	Rank      int
	Objective time.Time
	// Excluded and Warm hold the servers that must not be chosen, and those to which the requesting
	// process has an open connection. Both may be nil.
	Excluded map[string]bool
	Warm     map[string]bool
	// Delay returns the time until a server's request limit allows another request; nil for no limits.
	Delay func(inst registry.Instance) time.Duration
}

// New returns a pool without servers.
func New() *Pool { return &Pool{byID: make(map[registry.Instance]*server)} }

// SetServers replaces the servers that may be chosen. Those that are no longer among them are kept while
// requests run there.
func (p *Pool) SetServers(list []registry.Server) {
	for _, s := range p.servers {
		s.listed = false
	}
	p.servers = p.servers[:0]
	for _, r := range list {
		s := p.byID[r.Instance]
		if s == nil {
			s = newServer()
			p.byID[r.Instance] = s
		}
		s.Server, s.listed = r, true
		p.servers = append(p.servers, s)
	}
	for inst, s := range p.byID {
		if !s.listed && s.idle() {
			delete(p.byID, inst)
		}
	}
}

// Choose returns the server on which the request is expected to end first. It returns false if there is none.
func (p *Pool) Choose(now time.Time, r Request) (registry.Server, bool) {
	cost := p.costs.mean(r.Rank)
	bonus := min(max(0, r.Objective.Sub(now))/warmBonusDivisor, maxWarmBonus)
	var best *server
	var lowest time.Duration
	for _, s := range p.servers {
		if r.Excluded[s.ID] {
			continue
		}
		end := p.expectedEnd(now, s, cost)
		if r.Delay != nil {
			end += r.Delay(s.Instance)
		}
		if r.Warm[s.ID] {
			end -= bonus
		}
		if best == nil || end < lowest {
			best, lowest = s, end
		}
	}
	if best == nil {
		return registry.Server{}, false
	}
	return best.Server, true
}

// expectedEnd returns the expected time until the end of a request of the given cost on a server.
func (p *Pool) expectedEnd(now time.Time, s *server, cost time.Duration) time.Duration {
	factor := s.speedFactor(now)
	busy := s.occupied(now)
	took := time.Duration(float64(cost) * factor)
	if s.samples == 0 && busy == 0 {
		// The first request of a server shows its speed. Without it, a server that joins an idle pool would get none.
		return took / newServerAdvantage
	}
	if busy < s.Slots {
		return took + time.Duration(float64(took)*fullPenalty*float64(busy)/float64(s.Slots))
	}
	// The end of a running request is uncertain, so a server with a free slot is better than an equal one whose
	// slot is expected to become free.
	return p.wait(now, s, factor) + took + took/queuePenaltyDivisor
}

// wait returns the expected time until a server without free slots has one for a further request.
func (p *Pool) wait(now time.Time, s *server, factor float64) time.Duration {
	var free [maxSimulatedSlots]time.Duration
	n := min(s.Slots, maxSimulatedSlots)
	for i, r := range s.running {
		left := p.costs.remaining(r.rank, factor, now.Sub(r.started))
		if i < n {
			free[i] = left
			continue
		}
		free[earliest(free[:n])] += left
	}
	for range s.foreign(now) {
		free[earliest(free[:n])] += time.Duration(float64(p.costs.mean(0)) * factor / 2)
	}
	for _, w := range s.waiting {
		free[earliest(free[:n])] += time.Duration(float64(p.costs.mean(w.rank)) * factor)
	}
	return free[earliest(free[:n])]
}

// maxSimulatedSlots bounds the slots of a server that are looked at one by one.
const maxSimulatedSlots = 64

// earliest returns the index of the smallest time.
func earliest(times []time.Duration) int {
	best := 0
	for i, t := range times {
		if t < times[best] {
			best = i
		}
	}
	return best
}

// Queue records that a request waits at a server, Start that it runs there, and End that it does neither any
// more. Each request has an identifier that is unique in the pool.
func (p *Pool) Queue(inst registry.Instance, id uint64, rank int) {
	if s := p.byID[inst]; s != nil {
		s.waiting = append(s.waiting, run{id: id, rank: rank})
	}
}

// Start records that a request has begun to run at a server.
func (p *Pool) Start(now time.Time, inst registry.Instance, id uint64, rank int) {
	if s := p.byID[inst]; s != nil {
		s.waiting = without(s.waiting, id)
		s.running = append(s.running, run{id: id, rank: rank, started: now})
	}
}

// End records that a request has ended, and what it has shown.
func (p *Pool) End(now time.Time, inst registry.Instance, id uint64, o Outcome) {
	s := p.byID[inst]
	if s == nil {
		return
	}
	s.waiting = without(s.waiting, id)
	r, ok := s.find(id)
	if !ok {
		return
	}
	s.running = without(s.running, id)
	s.observe(now, o)
	took := o.ServiceTime
	if took <= 0 || o.Failed {
		// A request that was given up shows only that it would have taken longer, and a failure that it
		// would not have taken less.
		took = now.Sub(r.started)
		if o.NotRun || float64(took) < float64(p.costs.mean(r.rank))*s.speedFactor(now) {
			return
		}
	}
	factor := s.slowdown(now)
	s.record(float64(took) / (float64(p.costs.record(r.rank, took, s.speed*factor)) * factor))
	if !s.listed && s.idle() {
		delete(p.byID, inst)
	}
}

// Slots returns how many requests of the ledger may run at a server, at least one: its slots without those
// that other requests take.
func (p *Pool) Slots(now time.Time, inst registry.Instance) int {
	s := p.byID[inst]
	if s == nil {
		return 1
	}
	return max(1, s.Slots-s.foreign(now))
}

// Estimate returns the expected wait and service time of another request of a rank at the best server.
func (p *Pool) Estimate(now time.Time, rank int) (wait, took time.Duration) {
	cost := p.costs.mean(rank)
	lowest := time.Duration(-1)
	for _, s := range p.servers {
		end := p.expectedEnd(now, s, cost)
		if lowest >= 0 && end >= lowest {
			continue
		}
		lowest = end
		took = time.Duration(float64(cost) * s.speedFactor(now))
		wait = max(0, end-took)
		if s.occupied(now) < s.Slots {
			wait = 0
		}
	}
	return wait, took
}

// Left returns the work that is left at a server, in time of its slots.
func (p *Pool) Left(now time.Time, inst registry.Instance) time.Duration {
	s := p.byID[inst]
	if s == nil {
		return 0
	}
	factor := s.speedFactor(now)
	var sum time.Duration
	for _, r := range s.running {
		sum += p.costs.remaining(r.rank, factor, now.Sub(r.started))
	}
	for _, w := range s.waiting {
		sum += time.Duration(float64(p.costs.mean(w.rank)) * factor)
	}
	return sum
}

// Candidate describes a server as the pool sees it, for operators.
type Candidate struct {
	Server   registry.Server
	Expected time.Duration
	Left     time.Duration
	Running  int
	Waiting  int
	Speed    float64
	Slowdown float64
}

// Candidates returns all servers that may be chosen with what is expected of them.
func (p *Pool) Candidates(now time.Time, rank int) []Candidate {
	out := make([]Candidate, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, Candidate{
			Server: s.Server, Expected: p.expectedEnd(now, s, p.costs.mean(rank)), Left: p.Left(now, s.Instance),
			Running: len(s.running), Waiting: len(s.waiting), Speed: 1 / s.speed, Slowdown: s.slowdown(now),
		})
	}
	return out
}
