package fault

import "time"

// State lists the active faults. Without faults it is the zero value, except that
// SlowFactor is 1.
type State struct {
	// FrozenUntil is when the server answers again. Until then it only receives bytes.
	FrozenUntil time.Time
	// RefusedUntil is when the server accepts new connections again.
	RefusedUntil time.Time
	Health       Distortion
	Load         Distortion
	// CrashEnabled lets requests with the crash header end the process.
	CrashEnabled bool
	// TruncateCount is the number of responses still to be truncated. A negative number
	// means all.
	TruncateCount int
	// SlowFactor multiplies service times.
	SlowFactor float64
}
