package configuration

import (
	"time"

	"bramleystand.org/common/rank"
)

// Preset holds the limits of all ranks for one operating condition, such as peak load or maintenance.
type Preset struct {
	Name  string
	Ranks [rank.Count]RankLimit
	// Drain is the maximum time that a planned move of shards waits for running requests.
	Drain time.Duration
}
