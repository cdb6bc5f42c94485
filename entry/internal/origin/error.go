package origin

import "fmt"

// Error is the failure of a request that got no usable response.
type Error struct {
	// Sent is true if the request was sent at least in part, so that the server may have run it.
	Sent bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// Reused is true if the connection had been used for an earlier request.
	Reused bool
	// Unanswered is true if no byte of an answer arrived on the connection.
	Unanswered bool
	Cause      error
}

// Error implements error. It tells whether the request was sent. The text of the cause is cut off after
// 300 characters, because it may quote a whole line that the server sent.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("origin: no usable response: %.300s", e.Cause)
	}
	return fmt.Sprintf("origin: request not sent: %.300s", e.Cause)
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }
