package trace

import "time"

// Objective is the service level that users expect for one rank.
type Objective struct {
	// Share is the smallest share of operations, in percent, that complete within Target.
	Share  float64
	Target time.Duration
	// Timeout is the time after which a caller gives up an operation.
	Timeout time.Duration
	// Lossless requires that every operation completes, however late. Share is then not
	// checked.
	Lossless bool
}
