package queue

import (
	"time"

	"bramleystand.org/common/rank"
)

// Policy decides which rank starts a request next. Implementations keep no state: the same view gives the same decision.
type Policy interface {
	// Next returns the rank whose oldest waiting request starts now, or false if no rank may start one.
	Next(v *PolicyView) (rank.Rank, bool)
	// Wait returns the expected wait of a request of the rank that arrives now.
	Wait(v *PolicyView, r rank.Rank) time.Duration
}
