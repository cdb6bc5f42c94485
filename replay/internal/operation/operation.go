// Package operation defines the operations that callers perform, their attempts and
// their results.
//
// # Usage
//
//	result := caller.Do(ctx, operation.Operation{Service: "seat-desk", Key: "seat-1", Rank: rank.Lookup})
//	if result.Class() == operation.Lost {
//		// No attempt got a response.
//	}
package operation

import (
	"time"

	"bramleystand.org/common/rank"
)

// Operation is a unit of work that a caller wants done. It may take several attempts.
type Operation struct {
	// ID is unique among all operations sent to a fleet.
	ID      string
	Service string
	Key     string
	Rank    rank.Rank
	Size    int64
	// DueAt is the time at which the first attempt is due. Response times count from it.
	DueAt    time.Time
	Target   time.Duration
	Deadline time.Time
	// Crash asks a simulated backend server to end its process instead of answering.
	Crash bool
}
