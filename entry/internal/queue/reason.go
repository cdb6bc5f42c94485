package queue

import "fmt"

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// QueueFull means that the rank has as many waiting requests as its preset allows.
	QueueFull Reason = iota
	// WaitTooLong means that the expected wait leaves too little time to complete the request by its deadline.
	WaitTooLong
	// Expired means that, while the request waited, its deadline came too near to complete it.
	Expired
	// Draining means that the queue accepts no new requests and lets the earlier ones finish.
	Draining
	// Closed means that the queue is closed and refuses waiting and new requests.
	Closed
)

const reasonCount = 5

var reasonNames = [reasonCount]string{"line full", "wait too long", "expired", "draining", "closed"}

// String returns the reason in words, as clients receive it.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}
