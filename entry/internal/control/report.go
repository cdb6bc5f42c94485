package control

import "bramleystand.org/common/fence"

// Report is the leaseholder's account of one upstream.
type Report struct {
	Upstream string
	Fence    fence.Fence
	Revision uint32
	State    ServerState
	Load     []ShardLoad
	// Released repeats each released shard until a lease without it has arrived.
	Released []Release
	// Received repeats each handed-over shard whose records have arrived, so that the controller may forget them.
	Received []Release
}
