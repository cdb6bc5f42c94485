package process

import (
	"context"
	"time"
)

// vmPollInterval is the time between two reads of the list of VMs. Only processes that
// watch the platform or are a succession member read it, because the platform counts each call.
const vmPollInterval = 5 * time.Second

// pollVMs reads the platform's list of VMs every vmPollInterval until the context ends.
func (p *Process) pollVMs(ctx context.Context) {
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	for {
		if p.directory.WatchesPlatform() || p.membershipCount() > 0 {
			p.readVMs(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readVMs reads the list of VMs and makes all pairs check their configuration if the list is newer.
func (p *Process) readVMs(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, vmPollInterval)
	defer cancel()
	version, vms, err := p.platform.VMs(timeoutCtx)
	if err != nil {
		p.logger.WithError(err).Debug("reading the list of VMs failed")
		return
	}
	if p.pairDirectory.updateVMs(version, vms) {
		for _, c := range p.pairRegistry.all() {
			c.Reconfigure()
		}
	}
}
