package fault

import "time"

// View distorts what an endpoint reports.
type View struct {
	// Lag is the age of the reported value.
	Lag time.Duration
	// False replaces the value unless it is empty.
	False string
}
