package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// State is a snapshot of a queue for dumps and metrics.
type State struct {
	Slots    int
	Running  int
	Draining bool
	Closed   bool
	// Exclusive is the number of waiting exclusive requests.
	Exclusive int
	Ranks     [rank.Count]RankState
}

// RankState is a snapshot of one rank.
type RankState struct {
	Rank    string
	Waiting int
	Running int
	// Line is the largest number of waiting requests.
	Line int
	// Cap is the largest number of slots that the rank may use at once.
	Cap int
	// Floor is the number of slots that is guaranteed to the rank while it has work.
	Floor float64
	// Deficit is the slot time in seconds by which the rank is short of its floor; it is negative if the rank
	// has used more.
	Deficit float64
	// Mean is the mean service time.
	Mean time.Duration
	// Wait is the expected wait of a request that arrives now.
	Wait time.Duration
	Counters
}

// Counters counts the requests of one rank since the queue was created.
type Counters struct {
	// Started counts requests that got a slot.
	Started uint64
	// Finished counts slots that were released.
	Finished uint64
	// Abandoned counts requests whose context ended before Acquire returned their slot.
	Abandoned uint64
	// Refused counts refusals by reason.
	Refused [reasonCount]uint64
	// Waited is the total time that started requests waited.
	Waited time.Duration
	// Busy is the total service time of released slots.
	Busy time.Duration
}
