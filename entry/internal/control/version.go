package control

// Version orders the routing tables of a pair, and the renewal responses of its controller.
type Version struct {
	Term     uint32
	Sequence uint64
}

// Newer reports whether v is later than o: by Term, then by Sequence.
func (v Version) Newer(o Version) bool {
	if v.Term != o.Term {
		return v.Term > o.Term
	}
	return v.Sequence > o.Sequence
}
