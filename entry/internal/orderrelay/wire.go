package orderrelay

import (
	"net/netip"
	"time"
)

// The wire types are encoded as CBOR arrays: the order, number and types of their fields are part of the
// protocol between entry processes.

type wireQuery struct {
	_       struct{} `cbor:",toarray"`
	Servers []netip.AddrPort
}

type wireClock struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	SinceBoot   int64
}

type wireAnswer struct {
	_       struct{} `cbor:",toarray"`
	Reached []bool
	Clock   wireClock
}

func encodeQuery(q Query) *wireQuery { return &wireQuery{Servers: q.Servers} }

func decodeQuery(w *wireQuery) Query { return Query{Servers: w.Servers} }

func encodeClock(c Clock) wireClock {
	return wireClock{Incarnation: c.Incarnation, SinceBoot: int64(c.SinceBoot)}
}

func decodeClock(w wireClock) Clock {
	return Clock{Incarnation: w.Incarnation, SinceBoot: time.Duration(w.SinceBoot)}
}

func encodeAnswer(a Answer) *wireAnswer {
	return &wireAnswer{Reached: a.Reached, Clock: encodeClock(a.Clock)}
}

func decodeAnswer(w *wireAnswer) Answer {
	return Answer{Reached: w.Reached, Clock: decodeClock(w.Clock)}
}
