package ticket

import "bramleystand.org/common/fence"

// State is a snapshot of a table for dumps and metrics.
type State struct {
	Service    string
	Fence      fence.Fence
	Shards     int
	Issued     uint64
	Operations int
	Running    int
	Bytes      int
	// Verdicts counts the verdicts of Redeem by name.
	Verdicts map[string]uint64
}
