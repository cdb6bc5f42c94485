package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// State is a snapshot of a queue for dumps and metrics.
type State struct {
	Slots     int
	Running   int
	Draining  bool
	Closed    bool
	Exclusive int
	Ranks     [rank.Count]RankState
}

// RankState is a snapshot of one rank.
type RankState struct {
	Rank    string
	Waiting int
	Running int
	Line    int
	Cap     int
	Floor   float64
	Deficit float64
	Mean    time.Duration
	Wait    time.Duration
	Counters
}

// Counters counts the requests of one rank since the start of the queue.
type Counters struct {
	// Started counts requests that got a slot.
	Started uint64
	// Finished counts slots that were released.
	Finished uint64
	// Abandoned counts requests whose context ended while they waited.
	Abandoned uint64
	// Refused counts refusals by reason.
	Refused [reasons]uint64
	// Waited is the total time that started requests waited.
	Waited time.Duration
	// Busy is the total service time of released slots.
	Busy time.Duration
}
