package place

import "bramleystand.org/common/keyspace"

// Range is a range of keys with its present owner.
type Range struct {
	keyspace.Range
	// Owner is the index of the owner in the list of servers, or -1 if there is none.
	Owner int
	// Fixed ranges are moving already or can't be moved now.
	Fixed bool
}
