package balance

import "bramleystand.org/entry/internal/control"

// Upstream is one backend server with the shards that it owns and their loads.
type Upstream struct {
	Name string
	// Slots is the number of slots in use; a server in its slow start has fewer.
	Slots int
	// Gone is set if the server is leaving or has failed, so that it must give all its shards away.
	Gone   bool
	Shards []control.ShardLoad
}
