package platform

import "fmt"

// NotFoundError tells that an object does not exist.
type NotFoundError struct {
	Name string
	// Version is that of the tombstone, or 0 if the name was never used. An update
	// that creates the object names it.
	Version int64
	// Author deleted the object.
	Author string
	change string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	if e.Version > 0 {
		return fmt.Sprintf("platform: %q was deleted at version %d by %q", e.Name, e.Version, e.Author)
	}
	return fmt.Sprintf("platform: no object %q", e.Name)
}
