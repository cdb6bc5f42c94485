package detector

import "time"

// State is a snapshot of a detector, as the process shows it in dumps.
type State struct {
	Server      string
	Since       time.Time
	Heard       time.Time
	Misses      int
	InFlight    int
	Silent      int
	ProbeSent   time.Time
	ProbeDue    time.Time
	RejoinAfter time.Time
	Failures    uint64
	Probes      uint64
}
