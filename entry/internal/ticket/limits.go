package ticket

// Limits bounds the memory that a table uses.
type Limits struct {
	// Operations is the maximum number of operations.
	Operations int
	// Bytes is the maximum total size of the stored response bodies. A running operation counts with the size
	// of the longest body that is stored.
	Bytes int
}
