package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Policy decides which rank runs next. Implementations are pure values: the same view gives the same answer.
type Policy interface {
	// Next returns the rank whose first request starts now, or false if none may start.
	Next(v *View) (rank.Rank, bool)
	// Wait returns how long a request of the rank that arrives now is expected to wait.
	Wait(v *View, r rank.Rank) time.Duration
}
