package fault

import "time"

// State lists the faults in force. The zero value has none.
type State struct {
	// FrozenUntil is when the server answers again; until then it only accepts bytes.
	FrozenUntil time.Time
	// RefusedUntil is when the server accepts new connections again.
	RefusedUntil time.Time
	Health       View
	Load         View
	// Crash lets requests with the crash header end the process.
	Crash bool
	// Truncate is the number of answers still to be cut short; a negative number means all.
	Truncate int
	// Slow multiplies service times.
	Slow float64
}
