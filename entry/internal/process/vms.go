package process

import (
	"context"
	"time"
)

// vmsInterval is the time between two looks at the list of VMs. Only those ask
// that watch the platform or may control a pair, since the platform counts each call.
const vmsInterval = 5 * time.Second

// watchVMs follows the platform's list of VMs until the context ends.
func (p *Process) watchVMs(ctx context.Context) {
	ticker := time.NewTicker(vmsInterval)
	defer ticker.Stop()
	for {
		if p.directory.Watching() || p.memberships() > 0 {
			p.readVMs(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Process) readVMs(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, vmsInterval)
	defer cancel()
	version, vms, err := p.platform.VMs(bounded)
	if err != nil {
		p.logger.WithError(err).Debug("list of VMs not read")
		return
	}
	if p.view.observe(version, vms) {
		for _, c := range p.controls.all() {
			c.Reconfigure()
		}
	}
}
