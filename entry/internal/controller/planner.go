package controller

import (
	"time"

	"bramleystand.org/common/shard"
)

const (
	// rebalanceInterval is the shortest time between two rounds of planned moves.
	rebalanceInterval = 10 * time.Second
	// moveCooldown is how long no planned move takes a shard that has just moved.
	moveCooldown = time.Minute
	// maxPlannedMoves bounds the number of planned moves that are under way at once.
	maxPlannedMoves = 4
)

// Planner chooses moves that balance load. Plan is called only while no shard is moving.
type Planner interface {
	Plan(now time.Time, v View) []Move
}

// View is the input of a Planner: the upstreams that may own shards.
type View struct {
	Shares []Share
}

// Share describes one upstream in a View.
type Share struct {
	Upstream string
	Slots    int
	// Shards lists the shards that may move, Fixed those that moved too recently.
	Shards []shard.Shard
	Fixed  []shard.Shard
	Loads  map[shard.Shard]float64
}

// Move is a planned move of a shard to another upstream.
type Move struct {
	Shard shard.Shard
	From  string
	To    string
}
