package process

import (
	"context"
	"time"
)

// machinesInterval is the time between two looks at the list of VMs. Only those ask
// that watch the platform or may control a pair, since the platform counts each call.
const machinesInterval = 5 * time.Second

// watchMachines follows the platform's list of VMs until the context ends.
func (p *Process) watchMachines(ctx context.Context) {
	ticker := time.NewTicker(machinesInterval)
	defer ticker.Stop()
	for {
		if p.directory.Watching() || p.memberships() > 0 {
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
	version, machines, err := p.platform.Machines(bounded)
	if err != nil {
		p.logger.WithError(err).Debug("list of VMs not read")
		return
	}
	if p.view.observe(version, machines) {
		for _, c := range p.controls.all() {
			c.Reconfigure()
		}
	}
}
