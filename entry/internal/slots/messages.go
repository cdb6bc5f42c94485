package slots

import (
	"time"

	"bramleystand.org/common/registry"
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
}

// reply goes from an allocator to a process. A reply with number 0 is a heartbeat.
type reply struct {
	number  uint64
	started bool
	// retry is the time after which a refused request may be sent again.
	retry time.Duration
	// wait is the expected wait of another request for the server.
	wait time.Duration
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
}

type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Started bool
	Retry   int64
	Wait    int64
}

// encodeMessage returns a message as it is sent now.
func encodeMessage(now time.Time, m message) *wireMessage {
	return &wireMessage{
		Action: uint8(m.action), Number: m.number, ID: m.instance.ID, Instance: m.instance.Incarnation, Slots: m.slots, Rank: m.rank,
		Waited: now.Sub(m.arrived).Microseconds(), Objective: m.objective.Sub(now).Microseconds(), Deadline: m.deadline.Sub(now).Microseconds(), ServiceTime: m.serviceTime.Microseconds(),
	}
}

// decodeMessage returns a message that has been received now.
func decodeMessage(now time.Time, w *wireMessage) message {
	return message{
		action: action(w.Action), number: w.Number, instance: registry.Instance{ID: w.ID, Incarnation: w.Instance}, slots: w.Slots, rank: w.Rank,
		arrived: now.Add(-microseconds(w.Waited)), objective: now.Add(microseconds(w.Objective)), deadline: now.Add(microseconds(w.Deadline)), serviceTime: microseconds(w.ServiceTime),
	}
}

func encodeReply(r reply) *wireReply {
	return &wireReply{Number: r.number, Started: r.started, Retry: r.retry.Microseconds(), Wait: r.wait.Microseconds()}
}

func decodeReply(w *wireReply) reply {
	return reply{number: w.Number, started: w.Started, retry: microseconds(w.Retry), wait: microseconds(w.Wait)}
}

// microseconds converts a time of a message, which is in microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
