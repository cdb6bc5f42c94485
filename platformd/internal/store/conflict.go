package store

import "fmt"

// Conflict tells that an object does not have the version that a write expected.
type Conflict struct {
	// Current is the object as it is; its version is 0 if it never existed.
	Current Object
	Wanted  int64
}

// Error names the current version and its author.
func (c *Conflict) Error() string {
	state := "is"
	if c.Current.Deleted {
		state = "was deleted"
	}
	return fmt.Sprintf("store: %q %s at version %d by %q, not at version %d",
		c.Current.Name, state, c.Current.Version, c.Current.Author, c.Wanted)
}
