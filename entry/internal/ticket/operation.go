package ticket

import "time"

// Operation is the record of a spent ticket.
type Operation struct {
	ticket  Ticket
	expires time.Time
	done    chan struct{}
	ended   bool
	// held tells whether a table holds the operation.
	held   bool
	index  int
	answer Answer
}

// Done returns a channel that is closed when the operation has an answer.
func (o *Operation) Done() <-chan struct{} {
	return o.done
}

// Answer returns the answer; it may be called only after Done is closed.
func (o *Operation) Answer() Answer {
	return o.answer
}
