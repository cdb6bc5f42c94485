package balance

import "bramleystand.org/entry/internal/control"

// Upstream is one backend server with the shards that it owns and their loads.
type Upstream struct {
	Name string
	// Slots is the number of slots that may be used now; it is smaller during the slow start of a server.
	Slots int
	// Evacuate is set if the server is leaving or has failed, so that all its shards must move to other servers.
	Evacuate bool
	Shards   []control.ShardLoad
}
