package platform

// Update is a conditional write.
type Update struct {
	Name string
	// Value is stored as it is; a deletion ignores it.
	Value []byte
	// IfVersion is the version that the object must have: 0 if the name was never
	// used, the tombstone's if it was deleted.
	IfVersion int64
	Author    string
	// Change must differ from that of every other update; it tells whether an update
	// whose answer was lost took effect.
	Change string
}
