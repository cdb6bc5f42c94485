package queue

import "time"

// phase is the stage of a request in the queue.
type phase uint8

const (
	waiting phase = iota
	running
	refused
	done
)

// Slot is the right to run one request. Its holder must release it exactly once.
type Slot struct {
	queue      *Queue
	request    Request
	phase      phase
	number     uint64
	arrived    time.Time
	refusal    *RefusalError
	ready      chan struct{}
	prev, next *Slot
}

// Release returns the slot with the time that the backend server took, or zero if the request was not sent.
func (s *Slot) Release(service time.Duration) {
	s.queue.release(s, service)
}

// wake tells the goroutine that waits in Acquire about the outcome.
func (s *Slot) wake() {
	if s.ready != nil {
		close(s.ready)
	}
}
