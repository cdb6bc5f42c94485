package control

// Version orders tables, and a controller's answers to renewals.
type Version struct {
	Term     uint32
	Sequence uint64
}

// Newer reports whether v is later than o.
func (v Version) Newer(o Version) bool {
	if v.Term != o.Term {
		return v.Term > o.Term
	}
	return v.Sequence > o.Sequence
}
