package trace

import "time"

// Expectation is the service that the users expect for one rank.
type Expectation struct {
	// Share is the smallest share of operations, in percent, that complete within Target.
	Share  float64
	Target time.Duration
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
	// Lossless says that every operation must complete, however late.
	Lossless bool
}
