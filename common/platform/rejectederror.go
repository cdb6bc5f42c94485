package platform

import "fmt"

// RejectedError tells that the platform does not accept a call as it is.
type RejectedError struct {
	Status int
	Reason string
}

// Error returns the platform's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Reason)
}
