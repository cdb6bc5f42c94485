package control

import "bramleystand.org/common/fence"

// UpstreamReport is what a leaseholder tells the controller about one upstream.
type UpstreamReport struct {
	Upstream string
	Fence    fence.Fence
	Revision uint32
	State    ServerState
	Load     []ShardLoad
	// Released lists released shards. Each one is repeated in every request until a lease without
	// the shard has arrived.
	Released []Release
	// Received acknowledges the shards whose handed-over records have arrived, so that the
	// controller can drop the records.
	Received []Release
}
