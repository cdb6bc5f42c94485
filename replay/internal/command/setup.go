package command

import (
	"fmt"
	"os"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
)

// Setup holds the flags of the commands that start a fleet.
type Setup struct {
	Programs string `default:"bin" help:"Directory of the programs entry, platformd and backendd."`
	Centres  int    `default:"2" help:"Number of data centres."`
	Entries  int    `default:"2" help:"Number of entry VMs in each data centre."`
	Servers  int    `default:"8" help:"Number of backend servers in each data centre."`
	Unfenced bool   `help:"Backend servers accept requests without a grant."`
	Keep     bool   `help:"Keep the settings files and logs of the processes."`
}

// entryStopTimeout is the longest time that a graceful stop of an entry process may take.
// Entry VMs that all stop at once use half of it, because no other VM takes over their leases.
const entryStopTimeout = 8 * time.Second

// maxBody is the largest request body that the entry processes accept.
const maxBody = 1 << 30

// options returns the options of a fleet for a deployment, with a new directory for its files.
// The returned function removes the directory unless the run failed or --keep is set.
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
