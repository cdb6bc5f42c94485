package fault

import "time"

// Distortion makes an endpoint report an old or a false value.
type Distortion struct {
	// Lag is the age of the reported value.
	Lag time.Duration
	// FalseValue replaces the reported value unless it is empty.
	FalseValue string
}
