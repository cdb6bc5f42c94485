package slots

import (
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/placement"
	"bramleystand.org/entry/internal/requestlimit"
)

// action is what a process requests from an allocator.
type action uint8

const (
	acquire action = iota
	release
)

// message goes from a process to an allocator. On the wire its times are relative, because the
// clocks of two VMs differ.
type message struct {
	action action
	// number identifies the request among those of the process.
	number   uint64
	instance registry.Instance
	slots    int
	rank     int
	// arrived, objective and deadline are those of the request.
	arrived     time.Time
	objective   time.Time
	deadline    time.Time
	serviceTime time.Duration
	// limit is the latest statement of the server that the process knows.
	limit requestlimit.Limit
	// share is the part of the server's request limit that the allocator may give out, from 0 to 1.
	share float64
	// placed is set for requests that may run on any server of a pool.
	placed *placed
}

// placed is the part of a message about a request to be placed.
type placed struct {
	pool poolKey
	// excluded and warm are the identifiers of the servers that must not be selected, and of those to which
	// the process has an open connection.
	excluded []string
	warm     []string
	// outcome is what the request has shown, in a release.
	outcome placement.Outcome
}

// reply goes from an allocator to a process. A reply with number 0 is a heartbeat.
type reply struct {
	number  uint64
	started bool
	// retry is the time after which a refused request may be sent again.
	retry time.Duration
	// wait is the expected wait of another request for the server.
	wait time.Duration
	// limit is the latest statement of the server that the allocator knows, and overLimit whether the
	// request was refused because of it.
	limit     requestlimit.Limit
	overLimit bool
	// server is the selected server of a request that was placed, and took the expected time of another one
	// like it. instance is empty if the pool has no server.
	server registry.Instance
	took   time.Duration
}

type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Action      uint8
	Number      uint64
	ID          string
	Instance    int64
	Slots       int
	Rank        int
	Waited      int64
	Objective   int64
	Deadline    int64
	ServiceTime int64
	Share       float64
	Limit       wireLimit
}

// wireLimit is the statement of a server with its age. Known is false if there is none.
type wireLimit struct {
	_         struct{} `cbor:",toarray"`
	Known     bool
	InForce   bool
	PerSecond float64
	Age       int64
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Started bool
	Retry   int64
	Wait    int64
	// OverLimit is true for a refusal because of Limit.
	OverLimit bool
	Limit     wireLimit
}

// encodeMessage returns a message as it is sent now.
func encodeMessage(now time.Time, m message) *wireMessage {
	return &wireMessage{
		Action: uint8(m.action), Number: m.number, ID: m.instance.ID, Instance: m.instance.Incarnation, Slots: m.slots, Rank: m.rank,
		Waited: now.Sub(m.arrived).Microseconds(), Objective: m.objective.Sub(now).Microseconds(), Deadline: m.deadline.Sub(now).Microseconds(), ServiceTime: m.serviceTime.Microseconds(),
		Share: m.share, Limit: encodeLimit(now, m.limit),
	}
}

// decodeMessage returns a message that has been received now.
func decodeMessage(now time.Time, w *wireMessage) message {
	return message{
		action: action(w.Action), number: w.Number, instance: registry.Instance{ID: w.ID, Incarnation: w.Instance}, slots: w.Slots, rank: w.Rank,
		arrived: now.Add(-microseconds(w.Waited)), objective: now.Add(microseconds(w.Objective)), deadline: now.Add(microseconds(w.Deadline)), serviceTime: microseconds(w.ServiceTime),
		share: w.Share, limit: decodeLimit(now, w.Limit),
	}
}

// encodeReply returns a reply as it is sent now.
func encodeReply(now time.Time, r reply) *wireReply {
	return &wireReply{
		Number: r.number, Started: r.started, Retry: r.retry.Microseconds(), Wait: r.wait.Microseconds(),
		OverLimit: r.overLimit, Limit: encodeLimit(now, r.limit),
	}
}

// decodeReply returns a reply that has been received now.
func decodeReply(now time.Time, w *wireReply) reply {
	return reply{
		number: w.Number, started: w.Started, retry: microseconds(w.Retry), wait: microseconds(w.Wait),
		overLimit: w.OverLimit, limit: decodeLimit(now, w.Limit),
	}
}

func encodeLimit(now time.Time, l requestlimit.Limit) wireLimit {
	if l.HeardAt.IsZero() {
		return wireLimit{}
	}
	return wireLimit{Known: true, InForce: l.InForce, PerSecond: l.PerSecond, Age: now.Sub(l.HeardAt).Microseconds()}
}

func decodeLimit(now time.Time, w wireLimit) requestlimit.Limit {
	if !w.Known {
		return requestlimit.Limit{}
	}
	return requestlimit.Limit{InForce: w.InForce, PerSecond: w.PerSecond, HeardAt: now.Add(-microseconds(w.Age))}
}

// microseconds converts a time of a message, which is in microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
