// Package place plans which keys move between the backend servers of a service.
//
// It handles two kinds of imbalance. Servers of one service differ in speed by a factor of two
// to three, so an equal number of keys for each overloads the slow ones at half of the total
// load. And a third to half of the requests can fall on some dozens of neighbouring keys within a
// second, so hot ranges are split, down to single keys if needed. Ranges move only if a server is
// short of capacity or underused, because each move delays the requests for its keys until the
// old owner has finished its running requests for them.
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
	// acceptableUtilisation is the utilisation up to which a server never counts as overloaded: with
	// half of the slots busy, requests rarely wait.
	acceptableUtilisation = 0.5
	// overloadUtilisation is the utilisation above which requests wait often. A server above it
	// gives keys away even if the others are nearly as busy.
	overloadUtilisation = 0.8
	// oversizeFactor is the factor by which a range's load may exceed the wanted load and the range
	// still be moved whole.
	oversizeFactor = 1.25
	// underusedFraction is the fraction of its fair load below which a server counts as underused.
	underusedFraction = 0.6
	// chanceDeviations is the number of standard deviations by which a server's load may differ from
	// the mean by chance. Of a thousand servers one differs by more.
	chanceDeviations = 3
	// minMoveLimit and serversPerMove bound the moves of one plan, each of which takes two calls to
	// servers. With many servers the bound is a third of their number: a few neighbouring keys can
	// get a third of all load, which takes a third of the servers to carry.
	minMoveLimit   = 24
	serversPerMove = 3
	// baselineFraction is the fraction of the measured load that is added evenly over all keys, so
	// that keys without recent requests are spread evenly too.
	baselineFraction = 0.03
	// minBaselineLoad is the lower bound of that added load in busy slots, for a service without
	// any load.
	minBaselineLoad = 0.01
)

// Plan returns the moves that even out the utilisation of the servers. prefix[i] is the load of all
// keys below i, in busy slots at a server of speed 1.
func Plan(servers []Server, ranges []Range, prefix []float64, l Limits) []Move {
	if len(servers) == 0 {
		return nil
	}
	p := newPlan(servers, ranges, prefix)
	p.assignUnowned()
	p.balance(l)
	return p.moves
}

// plan is the state of a plan under construction.
type plan struct {
	servers        []Server
	ranges         []Range
	prefix         []float64
	baselinePerKey float64
	total          float64
	capacity       float64
	loads          []float64
	// movable is the number of ranges of each server that may be moved.
	movable []int
	moves   []Move
}

func newPlan(servers []Server, ranges []Range, prefix []float64) *plan {
	p := &plan{servers: servers, ranges: slices.Clone(ranges), prefix: prefix, loads: make([]float64, len(servers)), movable: make([]int, len(servers))}
	measured := prefix[keyspace.KeyCount]
	p.baselinePerKey = max(measured*baselineFraction, minBaselineLoad) / keyspace.KeyCount
	p.total = measured + p.baselinePerKey*keyspace.KeyCount
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
	return p.prefix[int(r.Last)+1] - p.prefix[r.First] + p.baselinePerKey*float64(r.Size())
}

// fairLoad returns a server's part of the total load, in proportion to its capacity.
func (p *plan) fairLoad(i int) float64 { return p.total * p.servers[i].Capacity / p.capacity }

// utilisation returns a server's load relative to its capacity.
func (p *plan) utilisation(i int) float64 { return p.loads[i] / p.servers[i].Capacity }

// leastUtilised returns the server with the lowest utilisation.
func (p *plan) leastUtilised() int {
	best := 0
	for i := range p.servers {
		if p.utilisation(i) < p.utilisation(best) {
			best = i
		}
	}
	return best
}

// assignUnowned gives the ranges without an owner to the least utilised servers, the heaviest
// first.
func (p *plan) assignUnowned() {
	var unowned []int
	for i, r := range p.ranges {
		if r.Owner < 0 && !r.Fixed {
			unowned = append(unowned, i)
		}
	}
	slices.SortFunc(unowned, func(a, b int) int {
		return cmp.Compare(p.load(p.ranges[b].Range), p.load(p.ranges[a].Range))
	})
	minPieceLoad := p.total / float64(4*len(p.servers))
	for _, i := range unowned {
		rest := p.ranges[i].Range
		for {
			to := p.leastUtilised()
			spareLoad := max(p.fairLoad(to)-p.loads[to], minPieceLoad)
			piece := rest
			if p.load(rest) > oversizeFactor*spareLoad {
				piece = p.headWithLoad(rest, spareLoad)
			}
			p.recordMove(i, piece, to)
			if piece == rest {
				break
			}
			rest.First = piece.Last + 1
		}
	}
}

// balance moves ranges from servers that are short of capacity to servers with spare capacity.
func (p *plan) balance(l Limits) {
	mean := p.total / p.capacity
	chance := chanceDeviations * l.Noise
	utilisationLimit := max(acceptableUtilisation, min(mean*(l.Tolerance+chance), max(overloadUtilisation, mean*(l.Tolerance+chance*l.Noise))))
	underusedLimit := min(underusedFraction, 1-chance)
	for len(p.moves) < max(minMoveLimit, len(p.servers)/serversPerMove) {
		to := p.leastUtilised()
		// Every key has a load, so a server without any has no keys: it has joined or is back.
		underused := p.loads[to] == 0 || p.loads[to] < underusedLimit*p.fairLoad(to)
		from := p.pickSource(to, utilisationLimit, underused)
		if from < 0 {
			return
		}
		amount := min(p.loads[from]-p.fairLoad(from), p.fairLoad(to)-p.loads[to])
		i, pieceToMove, ok := p.pieceToMove(from, amount)
		if !ok || !p.lowersMaxUtilisation(from, to, p.load(pieceToMove)) {
			return
		}
		p.recordMove(i, pieceToMove, to)
	}
}

// pickSource returns the server that gives keys away, or -1.
func (p *plan) pickSource(to int, utilisationLimit float64, underused bool) int {
	from := -1
	for i := range p.servers {
		if i != to && p.movable[i] > 0 && (from < 0 || p.utilisation(i) > p.utilisation(from)) {
			from = i
		}
	}
	if from < 0 || p.loads[from] <= p.fairLoad(from) || p.utilisation(from) <= utilisationLimit && !underused {
		return -1
	}
	return from
}

// lowersMaxUtilisation reports whether a move lowers the higher utilisation of the two servers.
func (p *plan) lowersMaxUtilisation(from, to int, load float64) bool {
	return load > 0 && (p.loads[to]+load)/p.servers[to].Capacity < p.utilisation(from)
}

// pieceToMove picks the keys that a server gives away: a whole range where one fits, otherwise a
// part with few keys from one end of a range.
func (p *plan) pieceToMove(from int, amount float64) (index int, pieceToMove keyspace.Range, ok bool) {
	best := 0.0
	for i, r := range p.ranges {
		if r.Owner != from || r.Fixed {
			continue
		}
		candidate := r.Range
		load := p.load(candidate)
		if load > oversizeFactor*amount {
			candidate = p.smallerEnd(r.Range, amount)
			load = p.load(candidate)
		}
		// Up to 1.5 times the wanted load has no penalty: a single hot key can't be split, and
		// moving it is better than moving nothing.
		score := min(load, amount) - max(0, load-1.5*amount)
		if !ok || score > best {
			index, pieceToMove, ok, best = i, candidate, true, score
		}
	}
	return index, pieceToMove, ok
}

// smallerEnd returns the part with about the given load from the end of the range where that takes
// fewer keys.
func (p *plan) smallerEnd(r keyspace.Range, amount float64) keyspace.Range {
	head, tail := p.headWithLoad(r, amount), p.tailWithLoad(r, amount)
	if tail.Size() < head.Size() {
		return tail
	}
	return head
}

// headWithLoad returns the first keys of a range that have about the given load, at least one.
func (p *plan) headWithLoad(r keyspace.Range, amount float64) keyspace.Range {
	n := sort.Search(r.Size()-1, func(i int) bool {
		return p.load(keyspace.Range{First: r.First, Last: r.First + keyspace.Key(i)}) >= amount
	})
	return keyspace.Range{First: r.First, Last: r.First + keyspace.Key(n)}
}

// tailWithLoad returns the last keys of a range that have about the given load, at least one.
func (p *plan) tailWithLoad(r keyspace.Range, amount float64) keyspace.Range {
	n := sort.Search(r.Size()-1, func(i int) bool {
		return p.load(keyspace.Range{First: r.Last - keyspace.Key(i), Last: r.Last}) >= amount
	})
	return keyspace.Range{First: r.Last - keyspace.Key(n), Last: r.Last}
}

// recordMove adds a move and splits its range in the plan's own copy. The part that moves becomes
// fixed, so that no key moves twice in a plan.
func (p *plan) recordMove(i int, piece keyspace.Range, to int) {
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
		// The rest of a range without an owner keeps its index for the loop in assignUnowned.
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
