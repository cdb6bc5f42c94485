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
	Plan(now time.Time, v PlannerInput) []PlannedMove
}

// PlannerInput is the input of a Planner: the upstreams that may own shards.
type PlannerInput struct {
	Shares []UpstreamShards
}

// UpstreamShards describes one upstream in a PlannerInput.
type UpstreamShards struct {
	Upstream string
	Slots    int
	// Shards lists the shards that may move, RecentlyMoved those that moved too recently.
	Shards        []shard.Shard
	RecentlyMoved []shard.Shard
	Loads         map[shard.Shard]float64
}

// PlannedMove is a planned move of a shard to another upstream.
type PlannedMove struct {
	Shard shard.Shard
	From  string
	To    string
}
