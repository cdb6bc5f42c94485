package configuration

import "time"

// Leaving marks the VM of an entry process or backend server as about to be removed.
type Leaving struct {
	VM string
	// Author is who set the mark.
	Author string
	// Since is when the mark was set.
	Since time.Time
}
