package place

import "bramleystand.org/common/keyspace"

// Move assigns a range, or a part of one, to another server.
type Move struct {
	Keys keyspace.Range
	// To is the index of the new owner in the list of servers.
	To int
}
