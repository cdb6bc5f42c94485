package lease

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Grant tells a fenced backend server which shards to accept requests for, and
// until when. Within a fence, a greater revision replaces a smaller one.
type Grant struct {
	Fence    fence.Fence
	Revision uint32
	Shards   []shard.Shard
	// Until is the expiry on the clock of the backend server.
	Until time.Duration
}
