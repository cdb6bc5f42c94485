package gatewayprocess

import (
	"context"
	"os"
	"os/signal"
	"time"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/retry"
)

// pollInterval is the time between two checks of the settings file, which may change without a
// signal, and between two checks of the number of entry processes.
const pollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (p *Process) watchSettings(ctx context.Context) {
	defer signal.Stop(p.hangups)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	modTime := p.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
		case <-ticker.C:
			if m := p.settingsModTime(); m.Equal(modTime) {
				continue
			}
		}
		modTime = p.settingsModTime()
		p.reload()
	}
}

// settingsModTime returns the modification time of the settings file, or zero if it can't be read.
func (p *Process) settingsModTime() time.Time {
	info, err := os.Stat(p.settingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies the changes that need no restart. A file with errors
// changes nothing.
func (p *Process) reload() {
	data, err := os.ReadFile(p.settingsFile)
	if err != nil {
		p.logger.WithError(err).Error("settings file can't be read; the previous settings stay in force")
		return
	}
	s, err := gatewaysettings.Parse(data)
	if err != nil {
		p.logger.WithError(err).Error("settings refused; the previous ones stay in force")
		return
	}
	if s.ClientAddress != p.settings.ClientAddress || s.ReadyAddress != p.settings.ReadyAddress || s.PeerAddress != p.settings.PeerAddress ||
		s.AdminAddress != p.settings.AdminAddress || s.Store != p.settings.Store || s.Name != p.settings.Name {
		p.logger.Warn("settings: a changed name or address takes effect after a restart")
	}
	p.retrySettings.Store(&s.RetryBudget)
	p.updateShares()
	p.logger.Info("settings read")
}

// headroomDivisor sets the headroom of the retry limits: as if a quarter more processes ran, because
// that many may join before the limits are recalculated.
const headroomDivisor = 4

// watchMembers adjusts this process's share of the retries and of the servers' connections to the number of
// entry processes.
func (p *Process) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.updateShares()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateShares recalculates this process's share of the retries and of the servers' connections.
func (p *Process) updateShares() {
	r := p.retrySettings.Load()
	p.fleetSizeMu.Lock()
	members := p.fleetSize.Observe(time.Now(), len(p.node.Members()))
	p.fleetSizeMu.Unlock()
	p.dispatcher.SetProcesses(members)
	p.retryBudgets.SetLimit(retryLimit(*r, members+members/headroomDivisor))
}

// retryLimit returns this process's share of the retries for a number of processes, or for the number
// in the settings if that is higher.
func retryLimit(r gatewaysettings.RetryBudget, processes int) retry.Limit {
	return retry.Shared(r.Share, r.Burst, max(r.Processes, processes))
}
