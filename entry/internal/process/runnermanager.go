package process

import (
	"context"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/suspect"
)

// runnerManager keeps one runner for each configured upstream of the process's own data centre.
type runnerManager struct {
	pairDirectory *pairDirectory
	pairRegistry  *pairRegistry
	localHandler  *localHandler
	suspects      *suspect.List
	dialer        backend.Dialer
	logger        log.Interface
	cancels       map[upstreamKey]context.CancelFunc
	specs         map[upstreamKey]configuration.Upstream
}

func newRunnerManager(directory *pairDirectory, pairs *pairRegistry, local *localHandler, suspects *suspect.List, dialer backend.Dialer, logger log.Interface) *runnerManager {
	return &runnerManager{
		pairDirectory: directory, pairRegistry: pairs, localHandler: local, suspects: suspects, dialer: dialer, logger: logger,
		cancels: make(map[upstreamKey]context.CancelFunc), specs: make(map[upstreamKey]configuration.Upstream),
	}
}

// run starts and stops runners after each change of the configuration, until the context ends.
func (m *runnerManager) run(ctx context.Context) {
	changed, cancel := m.pairDirectory.Subscribe()
	defer cancel()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// reconcile starts the runners of new upstreams, applies the preset to all and stops the
// runners of upstreams that are no longer configured.
func (m *runnerManager) reconcile(ctx context.Context) {
	configured := make(map[upstreamKey]bool)
	centre := m.pairDirectory.SelfAnnouncement().Member.DataCentre
	preset := m.pairDirectory.Preset()
	for name, service := range m.pairDirectory.Services() {
		for _, spec := range service.Upstreams {
			if spec.DataCentre != centre {
				continue
			}
			k := upstreamKey{name, spec.Name}
			configured[k] = true
			m.startRunner(ctx, k, spec)
			if r := m.localHandler.runner(k); r != nil {
				r.upstream.ApplyPreset(preset)
			}
		}
	}
	for k := range m.cancels {
		if !configured[k] {
			m.stopRunner(k)
		}
	}
}

// startRunner starts a runner unless one already runs with the same settings. It replaces
// one with other settings.
func (m *runnerManager) startRunner(ctx context.Context, k upstreamKey, spec configuration.Upstream) {
	if m.specs[k] == spec {
		return
	}
	if m.cancels[k] != nil {
		m.stopRunner(k)
	}
	p := m.pairRegistry.pair(control.Pair{Service: k.service, DataCentre: spec.DataCentre})
	if p == nil {
		return
	}
	r := newUpstreamRunner(k.service, spec, p, m.suspects, m.dialer, m.logger)
	runnerCtx, cancel := context.WithCancel(ctx)
	m.cancels[k], m.specs[k] = cancel, spec
	m.localHandler.addRunner(k, r)
	go r.run(runnerCtx)
}

// stopRunner stops a runner and removes it from the local handler.
func (m *runnerManager) stopRunner(k upstreamKey) {
	m.cancels[k]()
	delete(m.cancels, k)
	delete(m.specs, k)
	m.localHandler.removeRunner(k)
}

// runSuspectSync calls syncSuspects every suspectInterval until the context ends.
func (m *runnerManager) runSuspectSync(ctx context.Context) {
	ticker := time.NewTicker(suspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			syncSuspects(now, m.suspects, m.pairDirectory.Directory)
		}
	}
}
