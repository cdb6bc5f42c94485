package balance

import (
	"time"

	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

// Input is the state of one service from which a plan is made.
type Input struct {
	Upstreams []Upstream
	// Unowned lists the shards that no upstream owns.
	Unowned []control.ShardLoad
	// LastMoved holds the time of the last move of each shard; a shard that never moved is absent.
	LastMoved map[shard.Shard]time.Time
	// MovesInProgress is the number of unfinished moves that were planned for a better balance.
	MovesInProgress int
}
