package orderrelay

import (
	"net/netip"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
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

type wireOrder struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Address    netip.AddrPort
	Release    bool
	First      keyspace.Key
	Last       keyspace.Key
	Fence      uint64
	Hold       int64
	Handover   string
	SendBefore wireClock
	Timeout    int64
}

type wireReport struct {
	_        struct{} `cbor:",toarray"`
	Outcome  Outcome
	Handover string
	Reason   string
	Clock    wireClock
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

func encodeOrder(o Order) *wireOrder {
	return &wireOrder{
		ID: o.To.ID, Address: o.To.Address, Release: o.Release, First: o.Keys.First, Last: o.Keys.Last, Fence: o.Fence,
		Hold: int64(o.Hold), Handover: o.Handover, SendBefore: encodeClock(o.SendBefore), Timeout: int64(o.Timeout),
	}
}

func decodeOrder(w *wireOrder) Order {
	return Order{
		To: platform.Recipient{ID: w.ID, Address: w.Address}, Release: w.Release, Keys: keyspace.Range{First: w.First, Last: w.Last}, Fence: w.Fence,
		Hold: time.Duration(w.Hold), Handover: w.Handover, SendBefore: decodeClock(w.SendBefore), Timeout: time.Duration(w.Timeout),
	}
}

func encodeReport(r Report) *wireReport {
	return &wireReport{Outcome: r.Outcome, Handover: r.Handover, Reason: r.Reason, Clock: encodeClock(r.Clock)}
}

func decodeReport(w *wireReport) Report {
	return Report{Outcome: w.Outcome, Handover: w.Handover, Reason: w.Reason, Clock: decodeClock(w.Clock)}
}
