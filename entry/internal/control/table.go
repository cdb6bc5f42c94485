package control

// Table is the routing table of a pair. Shards that no placement holds are being moved.
type Table struct {
	Pair       Pair
	Term       uint32
	Sequence   uint64
	Placements []Placement
}

// Newer reports whether the table replaces o.
func (t *Table) Newer(o *Table) bool {
	if t.Term != o.Term {
		return t.Term > o.Term
	}
	return t.Sequence > o.Sequence
}
