package httpserver

// idleList has the idle connections in the order in which they became idle. The links are in the connections, because
// each request moves its connection out of the list and back.
type idleList struct {
	oldest, latest *conn
	length         int
}

func (l *idleList) len() int { return l.length }

func (l *idleList) add(k *conn) {
	if k.isIdle {
		return
	}
	k.isIdle, k.older, k.newer = true, l.latest, nil
	if l.latest != nil {
		l.latest.newer = k
	} else {
		l.oldest = k
	}
	l.latest = k
	l.length++
}

func (l *idleList) remove(k *conn) {
	if !k.isIdle {
		return
	}
	if k.older != nil {
		k.older.newer = k.newer
	} else {
		l.oldest = k.newer
	}
	if k.newer != nil {
		k.newer.older = k.older
	} else {
		l.latest = k.older
	}
	k.isIdle, k.older, k.newer = false, nil, nil
	l.length--
}

// takeOldest removes the connection that has been idle for longest, and returns nil if there is none.
func (l *idleList) takeOldest() *conn {
	k := l.oldest
	if k != nil {
		l.remove(k)
	}
	return k
}
