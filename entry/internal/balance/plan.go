// Package balance plans moves of shards between the upstreams of a service.
//
// Shards of servers that are gone and shards without an owner are always moved,
// spread by load. Beyond that a plan makes as few moves as possible: it acts only
// if the most loaded server has more than MaxRatio times the mean load, or if one
// has so little that it must be new. A shard that moved recently stays, and only
// a few moves are made at once, because a key is unavailable while its shard
// moves. All loads are compared for each slot, so that a server with more slots
// gets more.
//
// # Usage
//
// Plan is a pure function; the controller calls it at most every 10 s, and at once
// when a server is gone.
//
//	moves := balance.Plan(now, balance.Input{Upstreams: upstreams, Moved: moved, Moving: moving})
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
	// MaxRatio is the load of the most loaded server, in means, up to which nothing is moved.
	MaxRatio = 1.15
	// maxMoves is the largest number of moves for the balance at once.
	maxMoves = 4
	// restTime is how long a shard stays after a move. Loads are decayed sums, so they need
	// some time to show the effect of a move.
	restTime = 60 * time.Second
	// newRatio is the load, in means, below which a server gets shards though no other one has
	// too much, as a new server does. It is filled to filledRatio.
	newRatio    = 0.5
	filledRatio = 1 / MaxRatio
	// idleLoad is the mean load of a slot below which imbalance costs less than moves.
	idleLoad = 0.02
	// minGain is the part of the excess below which a shard is not worth a move if one hot shard is
	// too much for a server by itself. Without it, the server would lose all its other shards one by one.
	minGain = 0.05
	// maxTransfer is the largest shard that may move to a server that then has too much itself, as a
	// multiple of the load that would make both servers equal. From 2 on, the two would swap roles.
	// A factor of 1.5 takes 10% fewer moves than 1 on 30 servers with 34 shards each.
	maxTransfer = 1.5
	// nominalLoad is the least load, in means of a shard, that a shard counts with when it is placed.
	// Without it, all idle shards of a lost server would go to the same one.
	nominalLoad = 0.25
)

// Plan returns the moves to start now, in the order of their urgency. Equal inputs give equal plans.
func Plan(now time.Time, in Input) []Move {
	p := newPlanner(now, in)
	if len(p.alive) == 0 {
		return nil
	}
	moves := p.place(in)
	if len(moves) > 0 {
		// The loads are about to change, and the moves of lost shards have precedence.
		return moves
	}
	for len(moves)+in.Moving < maxMoves {
		m, ok := p.improve()
		if !ok {
			break
		}
		moves = append(moves, m)
	}
	return moves
}

// planner is the state of one call of Plan.
type planner struct {
	now   time.Time
	moved map[shard.Shard]time.Time
	alive []*server
	// mean is the mean load of a slot, nominal the least load of a shard that is placed.
	mean    float64
	nominal float64
}

// newPlanner collects the servers that may own shards.
func newPlanner(now time.Time, in Input) *planner {
	p := &planner{now: now, moved: in.Moved}
	load, slots, shards := 0.0, 0, len(in.Unowned)
	for i := range in.Upstreams {
		u := &in.Upstreams[i]
		for _, s := range u.Shards {
			load += s.Load
		}
		shards += len(u.Shards)
		if !u.Gone && u.Slots > 0 {
			p.alive = append(p.alive, newServer(u))
			slots += u.Slots
		}
	}
	for _, s := range in.Unowned {
		load += s.Load
	}
	slices.SortFunc(p.alive, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	p.mean = load / float64(max(slots, 1))
	p.nominal = nominalLoad * load / float64(max(shards, 1))
	return p
}

// place gives the shards of gone servers and unowned ones to the least loaded servers, the heaviest first.
func (p *planner) place(in Input) []Move {
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
			if u.Gone {
				orphans = append(orphans, orphan{s, u.Name})
			}
		}
	}
	slices.SortFunc(orphans, func(a, b orphan) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Shard, b.Shard))
	})
	least := lightest{p.alive}
	heap.Init(least)
	moves := make([]Move, 0, len(orphans))
	for _, o := range orphans {
		to := p.alive[0]
		to.add(max(o.Load, p.nominal))
		heap.Fix(least, 0)
		moves = append(moves, Move{Shard: o.Shard, From: o.from, To: to.name})
	}
	return moves
}

// improve makes the one move that helps most, or returns false if the balance is good enough.
func (p *planner) improve() (Move, bool) {
	if p.mean < idleLoad {
		return Move{}, false
	}
	slices.SortFunc(p.alive, compare)
	if lightest := p.alive[0]; lightest.density() < newRatio*p.mean || lightest.filling {
		lightest.filling = true
		if m, ok := p.fill(lightest); ok {
			return m, true
		}
	}
	for _, from := range slices.Backward(p.alive) {
		if from.density() <= MaxRatio*p.mean {
			break
		}
		if m, ok := p.relieve(from); ok {
			return m, true
		}
	}
	return Move{}, false
}

// fill moves one shard from the most loaded servers to one that has too little.
func (p *planner) fill(to *server) (Move, bool) {
	room := (filledRatio*p.mean - to.density()) * to.slots
	if room <= 0 {
		return Move{}, false
	}
	for _, from := range slices.Backward(p.alive) {
		if from == to || from.density() <= p.mean*filledRatio {
			break
		}
		if i, ok := p.largest(from, 0, min(room, (from.density()-filledRatio*p.mean)*from.slots)); ok {
			return p.move(from, to, i), true
		}
	}
	return Move{}, false
}

// relieve moves one shard away from a server that has too much. The smallest shard that is enough
// is best, otherwise the largest one that the least loaded server can take without having too much
// itself, or without having more than this one has then.
func (p *planner) relieve(from *server) (Move, bool) {
	excess := (from.density() - MaxRatio*p.mean) * from.slots
	to := p.alive[0]
	if to == from {
		return Move{}, false
	}
	room := (MaxRatio*p.mean - to.density()) * to.slots
	i, ok := p.smallest(from, excess, room)
	if !ok {
		lower := 0.0
		if from.hottest() > MaxRatio*p.mean*from.slots {
			lower = minGain * excess
		}
		even := (from.density() - to.density()) * from.slots * to.slots / (from.slots + to.slots)
		i, ok = p.largest(from, lower, max(room, maxTransfer*even))
	}
	if !ok {
		return Move{}, false
	}
	return p.move(from, to, i), true
}

// smallest returns the index of the smallest movable shard of at least the lower bound and at most the upper one.
func (p *planner) smallest(from *server, lower, upper float64) (int, bool) {
	best, found := 0, false
	for i, s := range from.shards {
		if s.Load >= lower && s.Load <= upper && p.rested(s.Shard) && (!found || s.Load < from.shards[best].Load) {
			best, found = i, true
		}
	}
	return best, found
}

// largest returns the index of the largest movable shard above the lower bound and at most the upper one.
func (p *planner) largest(from *server, lower, upper float64) (int, bool) {
	best, found := 0, false
	for i, s := range from.shards {
		if s.Load > lower && s.Load <= upper && p.rested(s.Shard) && (!found || s.Load > from.shards[best].Load) {
			best, found = i, true
		}
	}
	return best, found
}

// rested reports whether the shard has stayed long enough to be moved again.
func (p *planner) rested(s shard.Shard) bool {
	moved, ok := p.moved[s]
	return !ok || p.now.Sub(moved) >= restTime
}

// move moves a shard within the plan; it is not moved a second time.
func (p *planner) move(from, to *server, i int) Move {
	s := from.shards[i]
	from.shards = slices.Delete(from.shards, i, i+1)
	from.load -= s.Load
	from.count--
	to.add(s.Load)
	return Move{Shard: s.Shard, From: from.name, To: to.name}
}
