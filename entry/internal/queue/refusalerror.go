package queue

import (
	"fmt"
	"time"

	"bramleystand.org/common/rank"
)

// RefusalError tells that a request was not started.
type RefusalError struct {
	Rank   rank.Rank
	Reason Reason
	// RetryAfter is when another attempt is worthwhile.
	RetryAfter time.Time
}

// Error returns the rank and the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("queue: %v refused: %v", e.Rank, e.Reason)
}
