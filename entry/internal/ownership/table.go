// Package ownership holds the table that says which backend server holds which keys of a
// service.
//
// The coordinator writes the table to the store before it grants keys to a server, so the table
// names every server that may hold a key at any time. Entry VMs route requests by it.
//
// # Usage
//
//	table, err := ownership.Decode(service, revision, data)
//	if a := table.Find(key); a != nil {
//		owner, ok := a.Owner()
//		...
//	}
package ownership

import (
	"sort"

	"bramleystand.org/common/keyspace"
)

// Table holds the assignments of all keys of a service, ordered by key. It is immutable.
type Table struct {
	Service string
	// Revision is the store's revision of the table.
	Revision uint64
	// Term is the term of the coordinator that wrote the table.
	Term        uint64
	Assignments []Assignment
}

// Find returns the assignment of a key, or nil if there is none.
func (t *Table) Find(k keyspace.Key) *Assignment {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].Last >= k })
	if i == len(t.Assignments) || !t.Assignments[i].Contains(k) {
		return nil
	}
	return &t.Assignments[i]
}
