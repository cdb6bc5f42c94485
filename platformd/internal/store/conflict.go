package store

import "fmt"

// ConflictError is returned for a write to an object that does not have the expected version.
type ConflictError struct {
	// Current is the current version of the object; its number is 0 if the object never existed.
	Current Object
	// Expected is the version that the write named.
	Expected int64
}

// Error names the current version, its author and the expected version.
func (c *ConflictError) Error() string {
	state := "is"
	if c.Current.Deleted {
		state = "was deleted"
	}
	return fmt.Sprintf("store: %q %s at version %d by %q, not at version %d",
		c.Current.Name, state, c.Current.Version, c.Current.Author, c.Expected)
}
