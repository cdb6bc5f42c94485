package fleet

import (
	"time"

	"bramleystand.org/replay/internal/deployment"
)

// Options describes the fleet to start.
type Options struct {
	Deployment deployment.Deployment
	// Programs is the directory that contains the executables.
	Programs string
	// Directory receives the settings files and the logs of the processes.
	Directory string
	// Centres is the number of data centres. Entries and Servers are the numbers of entry VMs
	// and of backend servers in each data centre.
	Centres int
	Entries int
	Servers int
	// MaxBody is the size in bytes of the largest request body that entry processes accept.
	MaxBody int64
	// StopTimeout is the longest time that a graceful stop of an entry process may take.
	StopTimeout time.Duration
	// Relayed gives each entry VM its own IP address and routes its connections to other entry
	// VMs and to the platform through a relay.
	Relayed bool
	// Unfenced makes backend servers accept requests without a grant.
	Unfenced bool
	// BackendArgs holds additional command line arguments of each backend server.
	BackendArgs []string
}
