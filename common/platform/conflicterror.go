package platform

import "fmt"

// ConflictError tells that an update lost against another.
type ConflictError struct {
	Name string
	// Version, Author and Deleted describe the object as it is.
	Version int64
	Author  string
	Deleted bool
	// Uncertain is true if an answer was lost and the platform no longer knows the
	// changes in between: the update may have been in force before the present version.
	Uncertain bool
}

// Error names the present version and its author.
func (e *ConflictError) Error() string {
	state := "is"
	if e.Deleted {
		state = "was deleted"
	}
	text := fmt.Sprintf("platform: %q %s at version %d by %q", e.Name, state, e.Version, e.Author)
	if e.Uncertain {
		text += "; whether this update was in force before is not known"
	}
	return text
}
