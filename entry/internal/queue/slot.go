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

// Slot is a request in the queue and, once Acquire has returned it, the right to run the request. It
// must be released exactly once.
type Slot struct {
	queue         *Queue
	request       Request
	phase         phase
	arrivalNumber uint64
	arrivedAt     time.Time
	refusal       *RefusalError
	ready         chan struct{}
	prev, next    *Slot
}

// Release frees the slot. serviceTime is the time that the backend server took, or zero if the request was
// not sent.
func (s *Slot) Release(serviceTime time.Duration) {
	s.queue.release(s, serviceTime)
}

// notify wakes the goroutine that waits in Acquire after the request was started or refused.
func (s *Slot) notify() {
	if s.ready != nil {
		close(s.ready)
	}
}
