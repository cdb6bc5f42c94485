package store

// Object is one version of a named value, or a tombstone.
type Object struct {
	Name    string
	Version int64
	Author  string
	// Change identifies the write, so that its author can tell it from others.
	Change string
	// Deleted marks a tombstone, which has no value.
	Deleted bool
	Value   []byte
}
