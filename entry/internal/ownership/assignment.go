package ownership

import (
	"slices"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
)

// Assignment says which server holds a range of keys.
type Assignment struct {
	keyspace.Range
	// Holders are the servers that may hold the keys. There is one, unless the range is moving.
	Holders []Server
	// Unconfirmed is true if a holder has not confirmed that it accepted the keys.
	Unconfirmed bool
	// Target gets the keys once no holder has them any more. It is nil unless the range is moving.
	Target *Server
}

// Owner returns the server that serves the range, or false while the range is moving.
func (a *Assignment) Owner() (Server, bool) {
	if a.Target != nil || len(a.Holders) != 1 {
		return Server{}, false
	}
	return a.Holders[0], true
}

// equal reports whether two assignments are the same.
func (a *Assignment) equal(b *Assignment) bool {
	return a.Range == b.Range && a.Unconfirmed == b.Unconfirmed && slices.Equal(a.Holders, b.Holders) &&
		(a.Target == nil) == (b.Target == nil) && (a.Target == nil || *a.Target == *b.Target)
}

// Server is a backend server with its address, which is needed to revoke keys from a server that is
// no longer registered.
type Server struct {
	registry.Instance
	Address string
}
