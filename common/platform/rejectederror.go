package platform

import "fmt"

// RejectedError reports that the platform does not accept a call.
type RejectedError struct {
	Status int
	Reason string
}

// Error returns a message with the status and the platform's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Reason)
}
