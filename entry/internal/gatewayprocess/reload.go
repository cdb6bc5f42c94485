package gatewayprocess

import (
	"context"
	"os"
	"os/signal"
	"time"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/retry"
)

// settingsInterval is the time between two looks at the settings file, which may change without
// a signal.
const settingsInterval = 2 * time.Second

// followSettings reads the settings file again when SIGHUP comes or the file has changed.
func (p *Process) followSettings(ctx context.Context) {
	defer signal.Stop(p.hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	changed := p.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
		case <-ticker.C:
			if m := p.modified(); m.Equal(changed) {
				continue
			}
		}
		changed = p.modified()
		p.reload()
	}
}

// modified returns the time of the settings file's last change, zero if it can't be read.
func (p *Process) modified() time.Time {
	info, err := os.Stat(p.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts changed settings in force. A file with errors changes nothing.
func (p *Process) reload() {
	data, err := os.ReadFile(p.file)
	if err != nil {
		p.logger.WithError(err).Error("settings not read; the previous ones stay in force")
		return
	}
	s, err := gatewaysettings.Parse(data)
	if err != nil {
		p.logger.WithError(err).Error("settings refused; the previous ones stay in force")
		return
	}
	if s.Client != p.settings.Client || s.Ready != p.settings.Ready || s.Peer != p.settings.Peer ||
		s.Admin != p.settings.Admin || s.Store != p.settings.Store || s.Name != p.settings.Name {
		p.logger.Warn("settings: a changed name or address takes effect at the next start")
	}
	p.retries.Store(&s.Retries)
	p.shareRetries()
	p.logger.Info("settings read")
}

// sparePart is the part of the processes that may join before the budgets are shared out anew.
const sparePart = 4

// followMembers keeps this process's part of the retries in line with the number of processes.
func (p *Process) followMembers(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		p.shareRetries()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shareRetries sets this process's part of the retries.
func (p *Process) shareRetries() {
	r := p.retries.Load()
	p.sizeMu.Lock()
	members := p.size.Note(time.Now(), len(p.node.Members()))
	p.sizeMu.Unlock()
	p.budgets.SetLimit(retryLimit(*r, members+members/sparePart))
}

// retryLimit returns this process's part of the retries when there are a number of processes, or
// as many as the settings say if those are more.
func retryLimit(r gatewaysettings.Retries, processes int) retry.Limit {
	return retry.Shared(r.Share, r.Slack, max(r.Processes, processes))
}
