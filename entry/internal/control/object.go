package control

// Object is one version of a platform object. The platform never uses a version of an object twice.
type Object struct {
	Name    string
	Version int64
	// Deleted marks a tombstone, which has no Value.
	Deleted bool
	Value   []byte
}
