package ticket

// Limits bounds the memory of a table.
type Limits struct {
	// Operations is the largest number of operations.
	Operations int
	// Bytes is the largest total size of stored answers.
	Bytes int
}
