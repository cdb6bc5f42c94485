package platform

// Object is one version of a named value.
type Object struct {
	Name    string
	Version int64
	Author  string
	// Change is the identifier of the update that wrote this version.
	Change string
	// Deleted marks a tombstone, which has no value.
	Deleted bool
	Value   []byte
}
