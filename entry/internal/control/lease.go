package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Lease is the right to send to one upstream for a set of shards.
type Lease struct {
	Upstream string
	Fence    fence.Fence
	Revision uint32
	// Same says that the lessee has reported this fence and revision, so that Shards is left out.
	Same   bool
	Shards []shard.Shard
	// Releasing lists the shards among Shards that the leaseholder must stop using and report as released.
	Releasing []shard.Shard
	// Handover holds the operation records of shards that were moved to this upstream.
	Handover []Release
}
