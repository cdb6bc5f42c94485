package configuration

import (
	"time"

	"bramleystand.org/common/rank"
)

// Preset holds the limits for one kind of day.
type Preset struct {
	Name  string
	Ranks [rank.Count]RankLimit
	// Drain bounds how long a planned move waits for running requests.
	Drain time.Duration
}
