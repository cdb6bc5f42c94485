package configuration

import "time"

// Leaving marks a VM, an entry VM or a backend server's, as about to be removed.
type Leaving struct {
	VM     string
	Author string
	Since  time.Time
}
