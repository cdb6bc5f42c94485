// Package ownership holds the table that says which backend server holds which keys of a
// service.
//
// The coordinator writes the table to the store before it grants keys to a server, so the table
// names every server that may hold a key at any time. Entry VMs route requests by it.
//
// Copies of a table are ordered by the term and the generation that the coordinator gave them, not by
// the store's revision: a store that is restored has an older table with a later revision.
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
	"cmp"
	"sort"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/revision"
)

// Table holds the assignments of all keys of a service, ordered by key. It is immutable.
type Table struct {
	Service string
	// Revision is the store's revision of the table. It serves as the condition of the next write and
	// as the identity of the base of a difference.
	Revision uint64
	// Term is the term of the coordinator that wrote the table.
	Term uint64
	// Generation rises with each change of the table within a term.
	Generation uint64
	// Era is the era of the store in which the coordinator had its term.
	Era         uint64
	Assignments []Assignment
}

// IsRestored reports whether the copy was read from the store after a restore, so that the store may
// have lost later ones. A copy from before the restore has a revision of the table's era.
func (t *Table) IsRestored() bool {
	return revision.Revision(t.Revision).Era() > max(t.Era, revision.FirstEra)
}

// NewerThan reports whether the table replaces another copy. A copy that the coordinator has written
// twice counts as newer with the later revision, unless that comes from a restore.
func (t *Table) NewerThan(other *Table) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Generation, other.Generation), cmp.Compare(t.writtenAt(), other.writtenAt())) > 0
}

// Find returns the assignment of a key, or nil if there is none.
func (t *Table) Find(k keyspace.Key) *Assignment {
	i := sort.Search(len(t.Assignments), func(i int) bool { return t.Assignments[i].Last >= k })
	if i == len(t.Assignments) || !t.Assignments[i].Contains(k) {
		return nil
	}
	return &t.Assignments[i]
}

// writtenAt returns the revision at which the copy was written, or zero if that is not known because
// the store was restored since.
func (t *Table) writtenAt() uint64 {
	if t.IsRestored() {
		return 0
	}
	return t.Revision
}
