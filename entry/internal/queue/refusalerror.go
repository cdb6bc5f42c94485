package queue

import (
	"fmt"
	"time"

	"bramleystand.org/common/rank"
)

// RefusalError reports that a request was refused and not started.
type RefusalError struct {
	Rank   rank.Rank
	Reason Reason
	// EarliestRetry is the earliest time at which another attempt is useful.
	EarliestRetry time.Time
}

// Error returns a message with the rank and the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("queue: %v refused: %v", e.Rank, e.Reason)
}
