package command

import (
	"fmt"
	"os"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
)

// Setup holds the flags of commands that start a fleet.
type Setup struct {
	Programs string `default:"bin" help:"Directory of the programs entry, platformd and backendd."`
	Centres  int    `default:"2" help:"Data centres."`
	Entries  int    `default:"2" help:"Entry VMs in each data centre."`
	Servers  int    `default:"8" help:"Backend servers in each data centre."`
	Unfenced bool   `help:"Backend servers check no grants."`
	Keep     bool   `help:"Keep settings files and output of the processes."`
}

// entryStopTimeout is how long a graceful stop of an entry process may take. Entry VMs that
// all stop at once use half of it, because nobody takes their leases.
const entryStopTimeout = 8 * time.Second

// maxBody is the largest request body that the entry processes accept.
const maxBody = 1 << 30

// options returns the fleet of a deployment with its files in a new directory,
// and a function that removes them unless they are to be kept.
func (s *Setup) options(d deployment.Deployment) (fleet.Options, func(failed bool), error) {
	directory, err := os.MkdirTemp("", "replay-"+d.Name+"-")
	if err != nil {
		return fleet.Options{}, nil, fmt.Errorf("create directory: %w", err)
	}
	o := fleet.Options{
		Deployment: d, Programs: s.Programs, Directory: directory, MaxBody: maxBody, StopTimeout: entryStopTimeout,
		Centres: s.Centres, Entries: s.Entries, Servers: s.Servers, Unfenced: s.Unfenced,
	}
	return o, func(failed bool) {
		if s.Keep || failed {
			fmt.Fprintf(os.Stderr, "settings and output are in %s\n", directory)
			return
		}
		if err := os.RemoveAll(directory); err != nil {
			fmt.Fprintf(os.Stderr, "remove %s: %v\n", directory, err)
		}
	}, nil
}
