package process

import (
	"context"
	"slices"
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
	// loadInterval is the time between two load reports. They make up most of a renewal
	// (445 of 472 bytes for each upstream), and moves are planned every 10 s.
	loadInterval = 10 * time.Second
	// grantTimeout bounds one grant to a backend server.
	grantTimeout = 300 * time.Millisecond
	// grantInterval is the time between two grants of the same shards. A grant lasts up to
	// control.LeaseTTL, so that two may be lost before the server refuses requests.
	grantInterval = 300 * time.Millisecond
)

// runner drives one upstream: its grants, probes, releases and reports.
type runner struct {
	spec     configuration.Upstream
	pair     *pair.Pair
	upstream *upstream.Upstream
	client   *backend.Client
	monitor  *monitor
	logger   log.Interface

	// wake makes run look at the lease at once.
	wake chan struct{}

	fence fence.Fence
	// granted and shards are what the latest grant was for.
	granted  fence.Fence
	shards   []shard.Shard
	granting atomic.Bool
	// regrant asks for a grant before nextGrant.
	regrant   atomic.Bool
	nextGrant time.Time
	nextLoads time.Time
	lapsed    bool
}

func newRunner(service string, spec configuration.Upstream, p *pair.Pair, suspects *suspect.List, d backend.Dialer, logger log.Interface) *runner {
	client := backend.New(spec.Address, spec.Connections, d)
	m := newMonitor(client, spec.Slots, time.Now())
	return &runner{
		spec: spec, pair: p, client: client, monitor: m,
		upstream: upstream.New(service, spec, p, client, suspects, m),
		logger:   logger.WithField("upstream", spec.Name),
		wake:     make(chan struct{}, 1),
	}
}

// run drives the upstream until the context ends. Without a lease it only waits to
// be woken: a data centre has far more upstreams than a process has leases.
func (r *runner) run(ctx context.Context) {
	defer r.client.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick(ctx, time.Now())
		ticks := ticker.C
		if r.fence == 0 {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticks:
		}
	}
}

// wakeUp makes run look at the lease at once.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
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
			r.regrant.Store(true)
		}
	}
	if f == 0 {
		return
	}
	if f != r.granted || !slices.Equal(shards, r.shards) {
		r.granted, r.shards = f, shards
		r.regrant.Store(true)
	}
	if r.spec.Fenced && current && (r.regrant.Load() || !now.Before(r.nextGrant)) {
		r.nextGrant = now.Add(grantInterval)
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
	}
	r.upstream.Serve(r.monitor.answering())
	if r.monitor.gone() {
		r.upstream.Gone()
	}
	r.upstream.SetSlots(r.monitor.slots())
	var loads []control.ShardLoad
	if !now.Before(r.nextLoads) {
		r.nextLoads = now.Add(loadInterval)
		loads = r.upstream.Loads(now)
	}
	r.pair.Holder(func(h *lease.Holder) { h.Report(now, r.spec.Name, state, loads) })
}

// grant tells a fenced server what it owns and until when; one grant is under way at a time.
func (r *runner) grant(ctx context.Context) {
	if !r.granting.CompareAndSwap(false, true) {
		return
	}
	r.regrant.Store(false)
	go func() {
		defer r.granting.Store(false)
		if !r.sendGrant(ctx) {
			r.regrant.Store(true)
		}
	}()
}

// sendGrant reports whether the server has accepted the grant.
func (r *runner) sendGrant(ctx context.Context) bool {
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
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if _, err := r.client.Grant(bounded, g.Fence, g.Revision, g.Shards, deadline); err != nil {
		r.logger.WithError(err).Debug("grant failed")
		return false
	}
	r.pair.Holder(func(h *lease.Holder) { h.Granted(time.Now(), r.spec.Name, g) })
	return true
}
