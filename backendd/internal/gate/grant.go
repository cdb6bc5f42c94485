package gate

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Grant allows the leaseholder with a fence to use a set of shards until a time on
// the server's clock.
type Grant struct {
	// Incarnation identifies the server process on whose clock Until is a reading.
	Incarnation int64
	Fence       fence.Fence
	Revision    uint32
	Shards      []shard.Shard
	Until       time.Duration
}
