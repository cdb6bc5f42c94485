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

// fleet keeps one runner for each configured upstream of the own data centre.
type fleet struct {
	view     *view
	controls *controls
	local    *local
	suspects *suspect.List
	dialer   backend.Dialer
	logger   log.Interface
	stops    map[runnerKey]context.CancelFunc
	specs    map[runnerKey]configuration.Upstream
}

func newFleet(v *view, c *controls, l *local, s *suspect.List, d backend.Dialer, logger log.Interface) *fleet {
	return &fleet{
		view: v, controls: c, local: l, suspects: s, dialer: d, logger: logger,
		stops: make(map[runnerKey]context.CancelFunc), specs: make(map[runnerKey]configuration.Upstream),
	}
}

// run follows the configuration until the context ends.
func (f *fleet) run(ctx context.Context) {
	changed, cancel := f.view.Subscribe()
	defer cancel()
	for {
		f.follow(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *fleet) follow(ctx context.Context) {
	wanted := make(map[runnerKey]bool)
	centre := f.view.Self().Member.DataCentre
	preset := f.view.Preset()
	for name, service := range f.view.Services() {
		for _, spec := range service.Upstreams {
			if spec.DataCentre != centre {
				continue
			}
			k := runnerKey{name, spec.Name}
			wanted[k] = true
			f.start(ctx, k, spec)
			if r := f.local.get(k); r != nil {
				r.upstream.Limits(preset)
			}
		}
	}
	for k := range f.stops {
		if !wanted[k] {
			f.stop(k)
		}
	}
}

// start starts a runner unless it runs already with the same settings.
func (f *fleet) start(ctx context.Context, k runnerKey, spec configuration.Upstream) {
	if f.specs[k] == spec {
		return
	}
	if f.stops[k] != nil {
		f.stop(k)
	}
	p := f.controls.pair(control.Pair{Service: k.service, DataCentre: spec.DataCentre})
	if p == nil {
		return
	}
	r := newRunner(k.service, spec, p, f.suspects, f.dialer, f.logger)
	bounded, cancel := context.WithCancel(ctx)
	f.stops[k], f.specs[k] = cancel, spec
	f.local.put(k, r)
	go r.run(bounded)
}

// stop ends a runner whose upstream is no longer configured.
func (f *fleet) stop(k runnerKey) {
	f.stops[k]()
	delete(f.stops, k)
	delete(f.specs, k)
	f.local.remove(k)
}

// spreadSuspects exchanges verdicts on suspect requests with the directory until the context ends.
func (f *fleet) spreadSuspects(ctx context.Context) {
	ticker := time.NewTicker(suspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			publishSuspects(now, f.suspects, f.view.Directory)
		}
	}
}
