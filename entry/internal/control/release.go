package control

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Release tells the controller that a shard is no longer used under the reporting lease.
type Release struct {
	Shard shard.Shard
	// History is the fence of the lease that released the shard.
	History fence.Fence
	// Epochs are the tickets that Records cover.
	Epochs  []Epoch
	Records []Record
}
