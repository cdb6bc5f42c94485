package platform

import "fmt"

// ConflictError reports that an update was not applied because another was first.
type ConflictError struct {
	Name string
	// Version, Author and Deleted describe the current version of the object.
	Version int64
	Author  string
	Deleted bool
	// Uncertain is true if a response was lost and the platform no longer keeps the
	// changes in between: the update may have been applied before the current version.
	Uncertain bool
}

// Error returns a message with the current version and its author.
func (e *ConflictError) Error() string {
	state := "is"
	if e.Deleted {
		state = "was deleted"
	}
	text := fmt.Sprintf("platform: %q %s at version %d by %q", e.Name, state, e.Version, e.Author)
	if e.Uncertain {
		text += "; whether this update was applied before that version is not known"
	}
	return text
}
