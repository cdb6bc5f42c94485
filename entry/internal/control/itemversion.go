package control

// ItemVersion identifies one version of an item that entry processes replicate among each other.
type ItemVersion struct {
	// Key is a hash of the kind and name of the item.
	Key uint64
	// High and Low order the versions of the item; High is compared first.
	High uint64
	Low  uint64
}

// Newer reports whether m is a later version than o, which must have the same key.
func (m ItemVersion) Newer(o ItemVersion) bool {
	if m.High != o.High {
		return m.High > o.High
	}
	return m.Low > o.Low
}
