// Package place decides which keys go from which backend server to which.
//
// It answers loads of two shapes. Servers of one service differ in speed by a factor of two
// to three, so that an even deal of keys overloads the slow ones at half of the load. And a
// third to half of the requests can fall on some dozens of neighbouring keys within a
// second, so that a range is cut down to single keys where it is hot. Ranges are moved only
// if a server is short of capacity or has no work, because each move holds up the requests
// for its keys until the old owner has ended its work on them.
//
// # Usage
//
//	moves := place.Plan(servers, ranges, prefix, place.Limits{Tolerance: 1.3, Noise: 0.1})
package place

import (
	"cmp"
	"slices"
	"sort"

	"bramleystand.org/common/keyspace"
)

const (
	// busy is the utilisation below which a server is left alone: at half of its slots
	// requests rarely wait.
	busy = 0.5
	// crowded is the utilisation above which requests wait often, so that a server above it gives
	// keys away even if the others are nearly as full.
	crowded = 0.8
	// fit is the factor by which a range may be heavier than what is wanted and still be moved whole.
	fit = 1.25
	// unused is the share of its part of the load below which a server counts as without work;
	// leastUnused is the same when the load is uncertain.
	unused      = 0.6
	leastUnused = 0.15
	// smallestBound bounds the moves of one plan, each of which takes two calls to servers. With
	// many servers a third of their number is the bound: the load of some neighbouring keys can be a
	// third of all and then takes a third of the servers to carry.
	smallestBound  = 24
	serversPerMove = 3
	// idleShare is the part of the load that is spread evenly over all keys, so that keys
	// without recent requests are dealt out evenly too.
	idleShare = 0.03
	// idleLoad is the same in busy slots when there is no load at all.
	idleLoad = 0.01
)

// Plan returns the moves that bring the servers to an even utilisation. prefix[i] is the load
// of the keys below i in busy slots at a server of speed 1.
func Plan(servers []Server, ranges []Range, prefix []float64, l Limits) []Move {
	if len(servers) == 0 {
		return nil
	}
	p := newPlan(servers, ranges, prefix)
	p.settle()
	p.balance(l)
	return p.moves
}

// plan is a plan under construction.
type plan struct {
	servers  []Server
	ranges   []Range
	prefix   []float64
	perKey   float64
	total    float64
	capacity float64
	loads    []float64
	// movable is the number of ranges of each server that may be moved.
	movable []int
	moves   []Move
}

func newPlan(servers []Server, ranges []Range, prefix []float64) *plan {
	p := &plan{servers: servers, ranges: slices.Clone(ranges), prefix: prefix, loads: make([]float64, len(servers)), movable: make([]int, len(servers))}
	measured := prefix[keyspace.Count]
	p.perKey = max(measured*idleShare, idleLoad) / keyspace.Count
	p.total = measured + p.perKey*keyspace.Count
	for _, s := range servers {
		p.capacity += s.Capacity
	}
	for _, r := range p.ranges {
		if r.Owner >= 0 {
			p.loads[r.Owner] += p.load(r.Range)
			if !r.Fixed {
				p.movable[r.Owner]++
			}
		}
	}
	return p
}

// load returns the load of a range.
func (p *plan) load(r keyspace.Range) float64 {
	return p.prefix[int(r.Last)+1] - p.prefix[r.First] + p.perKey*float64(r.Size())
}

// target returns a server's part of the load.
func (p *plan) target(i int) float64 { return p.total * p.servers[i].Capacity / p.capacity }

// use returns a server's utilisation.
func (p *plan) use(i int) float64 { return p.loads[i] / p.servers[i].Capacity }

// least returns the server with the lowest utilisation.
func (p *plan) least() int {
	best := 0
	for i := range p.servers {
		if p.use(i) < p.use(best) {
			best = i
		}
	}
	return best
}

// settle gives the ranges without an owner to the servers with the most room.
func (p *plan) settle() {
	var orphans []int
	for i, r := range p.ranges {
		if r.Owner < 0 && !r.Fixed {
			orphans = append(orphans, i)
		}
	}
	slices.SortFunc(orphans, func(a, b int) int {
		return cmp.Compare(p.load(p.ranges[b].Range), p.load(p.ranges[a].Range))
	})
	smallest := p.total / float64(4*len(p.servers))
	for _, i := range orphans {
		rest := p.ranges[i].Range
		for {
			to := p.least()
			room := max(p.target(to)-p.loads[to], smallest)
			piece := rest
			if p.load(rest) > fit*room {
				piece = p.head(rest, room)
			}
			p.move(i, piece, to)
			if piece == rest {
				break
			}
			rest.First = piece.Last + 1
		}
	}
}

// balance moves ranges from the servers that are short of capacity to those with room.
func (p *plan) balance(l Limits) {
	mean := p.total / p.capacity
	limit := max(busy, min(mean*(l.Tolerance+2*l.Noise), max(crowded, mean*(l.Tolerance+l.Noise/2))))
	empty := max(leastUnused, unused-l.Noise)
	for len(p.moves) < max(smallestBound, len(p.servers)/serversPerMove) {
		to := p.least()
		idle := p.loads[to] < empty*p.target(to)
		from := p.source(to, limit, idle)
		if from < 0 {
			return
		}
		amount := min(p.loads[from]-p.target(from), p.target(to)-p.loads[to])
		i, piece, ok := p.piece(from, amount)
		if !ok || !p.improves(from, to, p.load(piece)) {
			return
		}
		p.move(i, piece, to)
	}
}

// source returns the server that gives work away, or -1.
func (p *plan) source(to int, limit float64, idle bool) int {
	from := -1
	for i := range p.servers {
		if i != to && p.movable[i] > 0 && (from < 0 || p.use(i) > p.use(from)) {
			from = i
		}
	}
	if from < 0 || p.loads[from] <= p.target(from) || p.use(from) <= limit && !idle {
		return -1
	}
	return from
}

// improves reports whether a move lowers the higher utilisation of the two servers.
func (p *plan) improves(from, to int, load float64) bool {
	return load > 0 && (p.loads[to]+load)/p.servers[to].Capacity < p.use(from)
}

// piece picks what a server gives away: a whole range where one fits, otherwise the part with
// the fewest keys from one end of a range.
func (p *plan) piece(from int, amount float64) (index int, piece keyspace.Range, ok bool) {
	best := 0.0
	for i, r := range p.ranges {
		if r.Owner != from || r.Fixed {
			continue
		}
		candidate := r.Range
		load := p.load(candidate)
		if load > fit*amount {
			candidate = p.end(r.Range, amount)
			load = p.load(candidate)
		}
		// Half a part more than wanted is taken rather than nothing: a single hot key can't be cut.
		score := min(load, amount) - max(0, load-1.5*amount)
		if !ok || score > best {
			index, piece, ok, best = i, candidate, true, score
		}
	}
	return index, piece, ok
}

// end returns the part of about the given load from the end of the range where it has fewer keys.
func (p *plan) end(r keyspace.Range, amount float64) keyspace.Range {
	head, tail := p.head(r, amount), p.tail(r, amount)
	if tail.Size() < head.Size() {
		return tail
	}
	return head
}

// head returns the first keys of a range that have about the given load, at least one.
func (p *plan) head(r keyspace.Range, amount float64) keyspace.Range {
	n := sort.Search(r.Size()-1, func(i int) bool {
		return p.load(keyspace.Range{First: r.First, Last: r.First + keyspace.Key(i)}) >= amount
	})
	return keyspace.Range{First: r.First, Last: r.First + keyspace.Key(n)}
}

// tail returns the last keys of a range that have about the given load, at least one.
func (p *plan) tail(r keyspace.Range, amount float64) keyspace.Range {
	n := sort.Search(r.Size()-1, func(i int) bool {
		return p.load(keyspace.Range{First: r.Last - keyspace.Key(i), Last: r.Last}) >= amount
	})
	return keyspace.Range{First: r.Last - keyspace.Key(n), Last: r.Last}
}

// move notes a move and cuts its range in the plan's own copy. The part that has moved is
// fixed, so that no key moves twice in a plan.
func (p *plan) move(i int, piece keyspace.Range, to int) {
	r := p.ranges[i]
	p.moves = append(p.moves, Move{Keys: piece, To: to})
	load := p.load(piece)
	if r.Owner >= 0 {
		p.loads[r.Owner] -= load
		p.movable[r.Owner]--
	}
	p.loads[to] += load
	var rest []Range
	if piece.First > r.First {
		rest = append(rest, Range{Range: keyspace.Range{First: r.First, Last: piece.First - 1}, Owner: r.Owner})
	}
	if piece.Last < r.Last {
		rest = append(rest, Range{Range: keyspace.Range{First: piece.Last + 1, Last: r.Last}, Owner: r.Owner})
	}
	p.ranges[i] = Range{Range: piece, Owner: to, Fixed: true}
	if len(rest) == 0 {
		return
	}
	if r.Owner < 0 {
		// What is left of a range without an owner keeps its place for the caller's loop.
		for j := range rest {
			rest[j].Fixed = false
		}
		p.ranges = append(p.ranges, Range{Range: piece, Owner: to, Fixed: true})
		p.ranges[i] = rest[0]
		p.ranges = append(p.ranges, rest[1:]...)
		return
	}
	p.movable[r.Owner] += len(rest)
	p.ranges = append(p.ranges, rest...)
}
