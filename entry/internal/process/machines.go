package process

import (
	"context"
	"time"
)

// machinesInterval is the time between two looks at the list of VMs. Only the
// members that watch the platform ask, since the platform counts each call.
const machinesInterval = 5 * time.Second

// watchMachines follows the platform's list of VMs until the context ends.
func (p *Process) watchMachines(ctx context.Context) {
	ticker := time.NewTicker(machinesInterval)
	defer ticker.Stop()
	for {
		if p.directory.Watching() {
			p.readMachines(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Process) readMachines(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, machinesInterval)
	defer cancel()
	version, names, err := p.platform.Machines(bounded)
	if err != nil {
		p.logger.WithError(err).Debug("list of VMs not read")
		return
	}
	p.view.observe(version, names)
}
