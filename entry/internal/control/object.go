package control

// Object is one version of a platform object. Versions of one object never repeat.
type Object struct {
	Name    string
	Version int64
	// Deleted marks a tombstone, which has no value.
	Deleted bool
	Value   []byte
}
