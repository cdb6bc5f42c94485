package controller

import (
	"time"

	"bramleystand.org/common/shard"
)

const (
	// planInterval is the least time between two rounds of planned moves.
	planInterval = 10 * time.Second
	// restTime is how long a shard stays after a move.
	restTime = time.Minute
	// moveLimit bounds the planned moves that are under way at once.
	moveLimit = 4
)

// Planner chooses moves that even out load; it is asked only while no shard moves.
type Planner interface {
	Plan(now time.Time, v View) []Move
}

// View is what a Planner sees: the upstreams that may own shards.
type View struct {
	Shares []Share
}

// Share is one upstream's part of a View.
type Share struct {
	Upstream string
	Slots    int
	// Shards may move, Fixed moved too recently.
	Shards []shard.Shard
	Fixed  []shard.Shard
	Loads  map[shard.Shard]float64
}

// Move gives a shard to another upstream.
type Move struct {
	Shard shard.Shard
	From  string
	To    string
}
