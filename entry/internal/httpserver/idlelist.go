package httpserver

import "container/list"

// idleList has the idle connections in the order in which they became idle.
type idleList struct {
	list     list.List
	elements map[*conn]*list.Element
}

func (l *idleList) len() int { return l.list.Len() }

func (l *idleList) add(k *conn) {
	if l.elements == nil {
		l.elements = make(map[*conn]*list.Element)
	}
	if l.elements[k] == nil {
		l.elements[k] = l.list.PushBack(k)
	}
}

func (l *idleList) remove(k *conn) {
	if e := l.elements[k]; e != nil {
		l.list.Remove(e)
		delete(l.elements, k)
	}
}

// takeOldest removes the connection that has been idle for longest, and returns nil if there is none.
func (l *idleList) takeOldest() *conn {
	e := l.list.Front()
	if e == nil {
		return nil
	}
	k := e.Value.(*conn)
	l.remove(k)
	return k
}
