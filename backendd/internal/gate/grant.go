package gate

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Grant allows one sender to use a set of shards until a moment on the server's clock.
type Grant struct {
	// Incarnation names the server process whose clock Until refers to.
	Incarnation int64
	Fence       fence.Fence
	Revision    uint32
	Shards      []shard.Shard
	Until       time.Duration
}
