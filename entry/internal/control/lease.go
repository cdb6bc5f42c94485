package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Lease allows its holder to send requests to one upstream for a set of shards.
type Lease struct {
	Upstream string
	Fence    fence.Fence
	Revision uint32
	// Same means that the leaseholder has already reported this fence and revision, so Shards is
	// left out.
	Same   bool
	Shards []shard.Shard
	// Releasing is the subset of Shards that the leaseholder must stop using and report as released.
	Releasing []shard.Shard
	// Handovers holds the ticket ranges and operation records of shards that were moved to this upstream.
	Handovers []Release
}
