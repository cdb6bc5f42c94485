package queue

// fifo is a first-in first-out list of waiting requests that allows removal from the middle.
type fifo struct {
	head, tail *Slot
	length     int
}

// push appends a request.
func (f *fifo) push(s *Slot) {
	s.prev, s.next = f.tail, nil
	if f.tail == nil {
		f.head = s
	} else {
		f.tail.next = s
	}
	f.tail = s
	f.length++
}

// remove removes a request from any position.
func (f *fifo) remove(s *Slot) {
	if s.prev == nil {
		f.head = s.next
	} else {
		s.prev.next = s.next
	}
	if s.next == nil {
		f.tail = s.prev
	} else {
		s.next.prev = s.prev
	}
	s.prev, s.next = nil, nil
	f.length--
}
