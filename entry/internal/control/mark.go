package control

// Mark names one version of one item that entry processes spread.
type Mark struct {
	// Key is a hash of the item's kind and name.
	Key uint64
	// High and Low order the versions of the item; High decides first.
	High uint64
	Low  uint64
}

// Newer reports whether the mark stands for a later version of the same item than o.
func (m Mark) Newer(o Mark) bool {
	if m.High != o.High {
		return m.High > o.High
	}
	return m.Low > o.Low
}
