package process

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/lease"
	"bramleystand.org/entry/internal/pair"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/upstream"
)

const (
	// tickInterval is the time between two looks at an upstream.
	tickInterval = 50 * time.Millisecond
	// loadInterval is the time between two load reports.
	loadInterval = 2 * time.Second
	// grantTimeout bounds one grant to a backend server.
	grantTimeout = 300 * time.Millisecond
)

// runner drives one upstream: its grants, probes, releases and reports.
type runner struct {
	spec     configuration.Upstream
	pair     *pair.Pair
	upstream *upstream.Upstream
	client   *backend.Client
	monitor  *monitor
	logger   log.Interface

	fence     fence.Fence
	granting  atomic.Bool
	nextLoads time.Time
	loads     []control.ShardLoad
	lapsed    bool
}

func newRunner(service string, spec configuration.Upstream, p *pair.Pair, suspects *suspect.List, logger log.Interface) *runner {
	client := backend.New(spec.Address, spec.Connections, &net.Dialer{})
	m := newMonitor(client, spec.Slots, time.Now())
	return &runner{
		spec: spec, pair: p, client: client, monitor: m,
		upstream: upstream.New(service, spec, p, client, suspects, m),
		logger:   logger.WithField("upstream", spec.Name),
	}
}

// run drives the upstream until the context ends.
func (r *runner) run(ctx context.Context) {
	defer r.client.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick(ctx, time.Now())
		}
	}
}

// tick does what is due. It takes what it needs from the lease first, because the
// upstream's lock comes before that of the lease.
func (r *runner) tick(ctx context.Context, now time.Time) {
	var (
		f         fence.Fence
		shards    []shard.Shard
		releasing []shard.Shard
		handovers []control.Release
		current   bool
	)
	r.pair.Holder(func(h *lease.Holder) {
		f, shards, current = h.Lease(now, r.spec.Name)
		releasing = h.Releasing(r.spec.Name)
		handovers = h.Handover(r.spec.Name)
	})
	r.follow(now, f, shards, handovers, current)
	r.upstream.Tick(now)
	for _, s := range releasing {
		if release, ok := r.upstream.Release(now, s); ok {
			r.pair.Holder(func(h *lease.Holder) { h.Idle(now, r.spec.Name, release) })
		}
	}
	if f == 0 {
		return
	}
	if r.spec.Fenced && current {
		r.grant(ctx)
	}
	r.observe(ctx, now)
}

// follow passes a change of the lease to the upstream.
func (r *runner) follow(now time.Time, f fence.Fence, shards []shard.Shard, handovers []control.Release, current bool) {
	if f == 0 && r.fence != 0 {
		r.logger.WithField("fence", r.fence.String()).Info("lease ended")
		r.upstream.Drop()
	}
	if f != 0 {
		if f != r.fence {
			r.logger.WithField("fence", f.String()).WithField("shards", len(shards)).Info("lease began")
		}
		if err := r.upstream.Adopt(now, f, shards, handovers); err != nil {
			r.logger.WithError(err).Error("handover not usable")
		}
	}
	r.fence = f
	// Requests that wait for an expired lease go elsewhere.
	if lapsed := f != 0 && !current; lapsed != r.lapsed {
		r.lapsed = lapsed
		if lapsed {
			r.logger.Warn("lease expired")
			r.upstream.Bounce()
		}
	}
}

// observe takes the verdict on the server and reports it with the loads.
func (r *runner) observe(ctx context.Context, now time.Time) {
	state, changed := r.monitor.tick(ctx, now)
	if changed {
		r.logger.WithField("state", state.String()).Warn("backend server changed state")
		if state == control.Failed {
			r.upstream.Abort()
		}
	}
	r.upstream.SetSlots(r.monitor.slots())
	if !now.Before(r.nextLoads) {
		r.nextLoads = now.Add(loadInterval)
		r.loads = r.upstream.Loads(now)
	}
	r.pair.Holder(func(h *lease.Holder) { h.Report(now, r.spec.Name, state, r.loads) })
}

// grant tells a fenced server what it owns and until when; one grant is under way at a time.
func (r *runner) grant(ctx context.Context) {
	if !r.granting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.granting.Store(false)
		r.sendGrant(ctx)
	}()
}

func (r *runner) sendGrant(ctx context.Context) {
	now := time.Now()
	var (
		g        lease.Grant
		deadline time.Time
		ok       bool
	)
	r.pair.Holder(func(h *lease.Holder) {
		g, ok = h.Grant(now, r.spec.Name, 0, now)
		deadline = h.Deadline()
	})
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if _, err := r.client.Grant(bounded, g.Fence, g.Revision, g.Shards, deadline); err != nil {
		r.logger.WithError(err).Debug("grant failed")
		return
	}
	r.pair.Holder(func(h *lease.Holder) { h.Granted(time.Now(), r.spec.Name, g) })
}
