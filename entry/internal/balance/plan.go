// Package balance plans moves of shards between the upstreams of a service.
//
// Shards of servers that must give up all their shards and shards without an
// owner are always moved and spread by load. Otherwise a plan makes as few moves
// as possible: it moves shards only if the most loaded server has more than
// MaxLoadRatio times the mean load, or if a server has less than half of the mean
// load, as a new server does. A shard that moved recently is not moved, and only
// a few moves are made at once, because a key is unavailable while its shard
// moves. All loads are compared per slot, so that a server with more slots gets
// more shards.
//
// # Usage
//
// Plan is a pure function. The controller calls it at most every 10 s, and
// immediately when a server is leaving or has failed.
//
//	moves := balance.Plan(now, balance.Input{Upstreams: upstreams, LastMoved: lastMoved, MovesInProgress: moving})
package balance

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

const (
	// MaxLoadRatio is the load of the most loaded server, as a multiple of the mean load, up to which
	// no shard is moved away from it.
	MaxLoadRatio = 1.15
	// maxConcurrentMoves is the largest number of moves for a better balance at the same time.
	maxConcurrentMoves = 4
	// minMoveInterval is the least time between two moves of a shard. Loads are means since the last report, so
	// it takes some time until they show the effect of a move.
	minMoveInterval = 60 * time.Second
	// fillBelowRatio is the load, as a multiple of the mean load, below which a server gets shards even
	// if no other one is overloaded, as a new server does. It is filled up to fillTargetRatio.
	fillBelowRatio  = 0.5
	fillTargetRatio = 1 / MaxLoadRatio
	// minMeanLoad is the mean load of a slot below which no shard is moved for a better balance, because
	// imbalance then costs less than moves.
	minMeanLoad = 0.02
	// minGain is the least load of a shard that is moved away from a server that a single hot shard
	// overloads, as a part of the server's excess load. Without this limit, the server would lose all
	// its other shards one by one.
	minGain = 0.05
	// maxTransferRatio is the largest shard that may move to a server that it overloads, as a multiple of
	// the load that would make both servers equal. From 2 on, the target would end up as loaded as the
	// source was or more. A factor of 1.5 takes 10% fewer moves than 1 on 30 servers with 34 shards each.
	maxTransferRatio = 1.5
	// minPlacementRatio is the least load that is assumed for a shard when it is reassigned, as a multiple
	// of the mean load of a shard. Without it, all idle shards of a lost server would go to the same server.
	minPlacementRatio = 0.25
)

// Plan returns the moves to start now, the most urgent first. Equal inputs give equal plans.
func Plan(now time.Time, in Input) []Move {
	p := newPlanner(now, in)
	if len(p.candidates) == 0 {
		return nil
	}
	moves := p.reassign(in)
	if len(moves) > 0 {
		// These moves have precedence, and they change the loads on which further moves would be based.
		return moves
	}
	for len(moves)+in.MovesInProgress < maxConcurrentMoves {
		m, ok := p.nextMove()
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// planner holds the state of one call of Plan.
type planner struct {
	now        time.Time
	lastMoved  map[shard.Shard]time.Time
	candidates []*server
	// meanSlotLoad is the mean load of a slot, minPlacementLoad the least load that is assumed for a
	// shard when it is reassigned.
	meanSlotLoad     float64
	minPlacementLoad float64
}

// newPlanner collects the servers that may own shards and computes the mean loads.
func newPlanner(now time.Time, in Input) *planner {
	p := &planner{now: now, lastMoved: in.LastMoved}
	load, slots, shards := 0.0, 0, len(in.Unowned)
	for i := range in.Upstreams {
		u := &in.Upstreams[i]
		for _, s := range u.Shards {
			load += s.Load
		}
		shards += len(u.Shards)
		if !u.Evacuate && u.Slots > 0 {
			p.candidates = append(p.candidates, newServer(u))
			slots += u.Slots
		}
	}
	for _, s := range in.Unowned {
		load += s.Load
	}
	slices.SortFunc(p.candidates, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	p.meanSlotLoad = load / float64(max(slots, 1))
	p.minPlacementLoad = minPlacementRatio * load / float64(max(shards, 1))
	return p
}

// reassign gives unowned shards and those of servers that must give up their shards to the least loaded
// servers, the shard with the highest load first.
func (p *planner) reassign(in Input) []Move {
	type orphan struct {
		control.ShardLoad
		from string
	}
	var orphans []orphan
	for _, s := range in.Unowned {
		orphans = append(orphans, orphan{s, ""})
	}
	for _, u := range in.Upstreams {
		for _, s := range u.Shards {
			if u.Evacuate {
				orphans = append(orphans, orphan{s, u.Name})
			}
		}
	}
	slices.SortFunc(orphans, func(a, b orphan) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Shard, b.Shard))
	})
	byLoad := serverHeap{p.candidates}
	heap.Init(byLoad)
	moves := make([]Move, 0, len(orphans))
	for _, o := range orphans {
		to := p.candidates[0]
		to.addShard(max(o.Load, p.minPlacementLoad))
		heap.Fix(byLoad, 0)
		moves = append(moves, Move{Shard: o.Shard, From: o.from, To: to.name})
	}
	return moves
}

// nextMove applies and returns the move that improves the balance most, or returns false if no move is needed
// or possible.
func (p *planner) nextMove() (Move, bool) {
	if p.meanSlotLoad < minMeanLoad {
		return Move{}, false
	}
	slices.SortFunc(p.candidates, compareLoad)
	if leastLoaded := p.candidates[0]; leastLoaded.loadPerSlot() < fillBelowRatio*p.meanSlotLoad || leastLoaded.filling {
		leastLoaded.filling = true
		if m, ok := p.fillUnderloaded(leastLoaded); ok {
			return m, true
		}
	}
	for _, from := range slices.Backward(p.candidates) {
		if from.loadPerSlot() <= MaxLoadRatio*p.meanSlotLoad {
			break
		}
		if m, ok := p.relieveOverloaded(from); ok {
			return m, true
		}
	}
	return Move{}, false
}

// fillUnderloaded moves one shard from one of the most loaded servers to an underloaded one.
func (p *planner) fillUnderloaded(to *server) (Move, bool) {
	capacity := (fillTargetRatio*p.meanSlotLoad - to.loadPerSlot()) * to.slots
	if capacity <= 0 {
		return Move{}, false
	}
	for _, from := range slices.Backward(p.candidates) {
		if from == to || from.loadPerSlot() <= p.meanSlotLoad*fillTargetRatio {
			break
		}
		if i, ok := p.largestMovable(from, 0, min(capacity, (from.loadPerSlot()-fillTargetRatio*p.meanSlotLoad)*from.slots)); ok {
			return p.applyMove(from, to, i), true
		}
	}
	return Move{}, false
}

// relieveOverloaded moves one shard from an overloaded server to the least loaded one. It prefers the
// smallest shard that ends the overload. If there is none that fits, it takes the largest shard that
// does not overload the target or that is at most maxTransferRatio times the load that would make both
// servers equal.
func (p *planner) relieveOverloaded(from *server) (Move, bool) {
	excess := (from.loadPerSlot() - MaxLoadRatio*p.meanSlotLoad) * from.slots
	to := p.candidates[0]
	if to == from {
		return Move{}, false
	}
	capacity := (MaxLoadRatio*p.meanSlotLoad - to.loadPerSlot()) * to.slots
	i, ok := p.smallestMovable(from, excess, capacity)
	if !ok {
		minLoad := 0.0
		if from.maxShardLoad() > MaxLoadRatio*p.meanSlotLoad*from.slots {
			minLoad = minGain * excess
		}
		equalizingLoad := (from.loadPerSlot() - to.loadPerSlot()) * from.slots * to.slots / (from.slots + to.slots)
		i, ok = p.largestMovable(from, minLoad, max(capacity, maxTransferRatio*equalizingLoad))
	}
	if !ok {
		return Move{}, false
	}
	return p.applyMove(from, to, i), true
}

// smallestMovable returns the index of the movable shard with the least load from lower to upper, both included.
func (p *planner) smallestMovable(from *server, lower, upper float64) (int, bool) {
	best, found := 0, false
	for i, s := range from.shards {
		if s.Load >= lower && s.Load <= upper && p.isMovable(s.Shard) && (!found || s.Load < from.shards[best].Load) {
			best, found = i, true
		}
	}
	return best, found
}

// largestMovable returns the index of the movable shard with the highest load above lower and up to upper.
func (p *planner) largestMovable(from *server, lower, upper float64) (int, bool) {
	best, found := 0, false
	for i, s := range from.shards {
		if s.Load > lower && s.Load <= upper && p.isMovable(s.Shard) && (!found || s.Load > from.shards[best].Load) {
			best, found = i, true
		}
	}
	return best, found
}

// isMovable reports whether the last move of the shard is at least minMoveInterval ago.
func (p *planner) isMovable(s shard.Shard) bool {
	lastMoved, ok := p.lastMoved[s]
	return !ok || p.now.Sub(lastMoved) >= minMoveInterval
}

// applyMove records a move in the plan's loads. The shard is removed from the source and not listed at the
// target, so the same plan does not move it again.
func (p *planner) applyMove(from, to *server, i int) Move {
	s := from.shards[i]
	from.shards = slices.Delete(from.shards, i, i+1)
	from.load -= s.Load
	from.shardCount--
	to.addShard(s.Load)
	return Move{Shard: s.Shard, From: from.name, To: to.name}
}
