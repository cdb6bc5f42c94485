package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Placement is one upstream's part of a table: its leaseholder and the shards it owns.
type Placement struct {
	Upstream    string
	Leaseholder Member
	Fence       fence.Fence
	// Revision counts the changes of Shards under the same Fence.
	Revision uint32
	// Shards is sorted in ascending order.
	Shards []shard.Shard
}
