package queue

import "fmt"

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// LineFull means that the rank has as many waiting requests as its preset allows.
	LineFull Reason = iota
	// WaitTooLong means that the request could not be complete by its deadline.
	WaitTooLong
	// Expired means that the deadline came too near while the request waited.
	Expired
	// Draining means that the queue takes no new requests.
	Draining
	// Closed means that the queue gave up its waiting requests.
	Closed
)

const reasons = 5

var reasonNames = [reasons]string{"line full", "wait too long", "expired", "draining", "closed"}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}
