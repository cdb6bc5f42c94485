package ownership

import (
	"slices"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
)

// Assignment says which server holds a range of keys.
type Assignment struct {
	keyspace.Range
	// Holders may hold the keys. There is one, unless the range is moving.
	Holders []Server
	// Doubtful is true if one of the holders has not confirmed that it took the keys.
	Doubtful bool
	// Target gets the keys once no holder has them any more; it is nil in a range at rest.
	Target *Server
}

// Owner returns the server that serves the range, or false while it is moving.
func (a *Assignment) Owner() (Server, bool) {
	if a.Target != nil || len(a.Holders) != 1 {
		return Server{}, false
	}
	return a.Holders[0], true
}

// equal reports whether two assignments say the same.
func (a *Assignment) equal(b *Assignment) bool {
	return a.Range == b.Range && a.Doubtful == b.Doubtful && slices.Equal(a.Holders, b.Holders) &&
		(a.Target == nil) == (b.Target == nil) && (a.Target == nil || *a.Target == *b.Target)
}

// Server is a backend server with its address, which is needed to take keys back from a
// server that is no longer registered.
type Server struct {
	registry.Life
	Address string
}
