package ticket

import "time"

// Operation records the execution of the action of a redeemed ticket.
type Operation struct {
	ticket   Ticket
	expires  time.Time
	done     chan struct{}
	finished bool
	// inTable is set while a table contains the operation; the table removes it when its shard is released.
	inTable   bool
	heapIndex int
	result    Result
}

// Done returns a channel that is closed when the operation has a result.
func (o *Operation) Done() <-chan struct{} {
	return o.done
}

// Result returns the result. It must be called only after Done is closed.
func (o *Operation) Result() Result {
	return o.result
}
