package balance

import (
	"time"

	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

// Input is what a plan is made from.
type Input struct {
	Upstreams []Upstream
	// Unowned lists the shards that no upstream owns.
	Unowned []control.ShardLoad
	// Moved tells when a shard last moved; shards that never moved are missing.
	Moved map[shard.Shard]time.Time
	// Moving is the number of moves under way that serve the balance.
	Moving int
}
