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

// UnavailableError tells that the platform gave no usable answer.
type UnavailableError struct {
	// Uncertain is true if an update may have taken effect, or may still do so.
	Uncertain bool
	Err       error
}

// Error returns the cause.
func (e *UnavailableError) Error() string {
	if e.Uncertain {
		return "platform: unavailable, whether the update took effect is not known: " + e.Err.Error()
	}
	return "platform: unavailable: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// RejectedError tells that the platform does not accept a call as it is.
type RejectedError struct {
	Status int
	Reason string
}

// Error returns the platform's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Reason)
}
