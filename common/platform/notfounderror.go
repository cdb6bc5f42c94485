package platform

import "fmt"

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Name string
	// Version is the version of the tombstone, or 0 if the name was never used. An
	// update that creates the object passes it as IfVersion.
	Version int64
	// Author is who deleted the object.
	Author string
	// change identifies the deletion.
	change string
}

// Error returns a message with the object and, if it was deleted, the version and author.
func (e *NotFoundError) Error() string {
	if e.Version > 0 {
		return fmt.Sprintf("platform: %q was deleted at version %d by %q", e.Name, e.Version, e.Author)
	}
	return fmt.Sprintf("platform: no object %q", e.Name)
}
