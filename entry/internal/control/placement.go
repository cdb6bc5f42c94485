package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Placement is the entry of one upstream in a routing table: its leaseholder and its shards.
type Placement struct {
	Upstream    string
	Leaseholder Member
	Fence       fence.Fence
	// Revision counts the changes to Shards under the same Fence.
	Revision uint32
	// Shards is sorted in ascending order.
	Shards []shard.Shard
}
