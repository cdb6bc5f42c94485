package server

import (
	"time"

	"bramleystand.org/common/rank"
)

// Config describes the simulated backend server.
type Config struct {
	Name  string
	Slots int
	// Fenced servers require a grant for every request.
	Fenced bool
	// ProbeTime is the time that a probe takes.
	ProbeTime time.Duration
	// MeanServiceTimes holds the mean service time of each rank.
	MeanServiceTimes [rank.Count]time.Duration
	// WarmAt is when the mean service times have fallen to MeanServiceTimes after the start.
	WarmAt time.Time
	Seed   uint64
	// Executions is the number of newest execution records that are always kept.
	Executions int
}
