// Package operation defines what callers do and how each attempt at it ended.
//
// # Usage
//
//	result := caller.Do(ctx, operation.Operation{Service: "seat-desk", Key: "seat-1", Rank: rank.Lookup})
//	if result.Class() == operation.Lost {
//		// No attempt was answered.
//	}
package operation

import (
	"time"

	"bramleystand.org/common/rank"
)

// Operation is one thing that a caller wants done; it may take several attempts.
type Operation struct {
	// ID is unique among all operations sent to a fleet.
	ID      string
	Service string
	Key     string
	Rank    rank.Rank
	Size    int64
	// Intended is the time at which the operation should have started.
	Intended time.Time
	Target   time.Duration
	Deadline time.Time
	// Crash asks a stand-in server to end its process instead of answering.
	Crash bool
}
