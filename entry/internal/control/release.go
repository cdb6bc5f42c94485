package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Release tells the controller that a shard is no longer used under the reporting lease.
type Release struct {
	Shard shard.Shard
	// History is the lowest fence whose tickets are all covered by Records.
	History fence.Fence
	Records []Record
}
