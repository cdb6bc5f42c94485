package lease

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Grant is what a fenced backend server is told to accept. Within a fence, a
// greater revision replaces a smaller one.
type Grant struct {
	Fence    fence.Fence
	Revision uint32
	Shards   []shard.Shard
	// Until is in the clock of the backend server.
	Until time.Duration
}
