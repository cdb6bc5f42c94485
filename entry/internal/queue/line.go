package queue

// line is a first-in first-out list of waiting slots that allows removal from the middle.
type line struct {
	head, tail *Slot
	length     int
}

// push appends a slot.
func (l *line) push(s *Slot) {
	s.prev, s.next = l.tail, nil
	if l.tail == nil {
		l.head = s
	} else {
		l.tail.next = s
	}
	l.tail = s
	l.length++
}

// remove takes a slot out of the line.
func (l *line) remove(s *Slot) {
	if s.prev == nil {
		l.head = s.next
	} else {
		s.prev.next = s.next
	}
	if s.next == nil {
		l.tail = s.prev
	} else {
		s.next.prev = s.prev
	}
	s.prev, s.next = nil, nil
	l.length--
}
