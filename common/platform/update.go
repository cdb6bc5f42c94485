package platform

// Update is a conditional write.
type Update struct {
	Name string
	// Value is stored unchanged; a deletion ignores it.
	Value []byte
	// IfVersion is the version that the object must have: 0 if the name was never
	// used, the version of the tombstone if the object was deleted.
	IfVersion int64
	Author    string
	// Change identifies the update and must be unique. It shows whether an update
	// whose response was lost took effect.
	Change string
}
