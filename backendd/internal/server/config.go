package server

import (
	"time"

	"bramleystand.org/common/rank"
)

// Config describes the server that is represented.
type Config struct {
	Name  string
	Slots int
	// Fenced servers require a grant for every request.
	Fenced bool
	// Probe is the time that a probe takes.
	Probe time.Duration
	// Means holds the mean service time of each rank.
	Means [rank.Count]time.Duration
	// Warm is when service times have come down to their means.
	Warm time.Time
	Seed uint64
	// Executions is the number of execution records that are kept at least.
	Executions int
}
