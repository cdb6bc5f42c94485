package control

// Table is the routing table of a pair. A shard that moves stays with its former
// upstream until nobody uses it there.
type Table struct {
	Pair       Pair
	Term       uint32
	Sequence   uint64
	Placements []Placement
}

// Version returns the position of the table among all tables of its pair; a nil table is the oldest.
func (t *Table) Version() Version {
	if t == nil {
		return Version{}
	}
	return Version{Term: t.Term, Sequence: t.Sequence}
}

// Newer reports whether the table replaces o.
func (t *Table) Newer(o *Table) bool {
	return t.Version().Newer(o.Version())
}
