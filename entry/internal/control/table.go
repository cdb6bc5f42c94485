package control

// Table is the routing table of a pair. A shard that is being moved stays in the placement of
// its former upstream until it is no longer in use there.
type Table struct {
	Pair       Pair
	Term       uint32
	Sequence   uint64
	Placements []Placement
}

// Version returns the version of the table. A nil table has the lowest version.
func (t *Table) Version() Version {
	if t == nil {
		return Version{}
	}
	return Version{Term: t.Term, Sequence: t.Sequence}
}

// Newer reports whether t has a later version than o and so replaces it.
func (t *Table) Newer(o *Table) bool {
	return t.Version().Newer(o.Version())
}
