package fleet

import (
	"time"

	"bramleystand.org/replay/internal/deployment"
)

// Options describes the fleet to start.
type Options struct {
	Deployment deployment.Deployment
	// Programs is the directory of the programs.
	Programs string
	// Directory receives settings files and the output of the processes.
	Directory string
	// Centres is the number of data centres; Entries and Servers are the numbers in each of them.
	Centres int
	Entries int
	Servers int
	// Body is the largest request body in bytes.
	Body int64
	// Stop is the longest time that a graceful stop of an entry process may take.
	Stop time.Duration
	// Unfenced servers take requests without a grant.
	Unfenced bool
	// Backend holds further arguments of each backend server.
	Backend []string
}
