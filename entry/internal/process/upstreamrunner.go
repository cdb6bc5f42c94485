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
	// tickInterval is the time between two ticks of a runner that has a lease.
	tickInterval = 50 * time.Millisecond
	// loadInterval is the time between two load reports. Loads make up most of a renewal
	// (445 of 472 bytes for each upstream), and moves are planned only every 10 s.
	loadInterval = 10 * time.Second
	// grantTimeout limits one grant request to a backend server.
	grantTimeout = 300 * time.Millisecond
	// grantInterval is the time between two grants of the same shards. A grant lasts up to
	// control.LeaseTTL, so two may be lost before the server refuses requests.
	grantInterval = 300 * time.Millisecond
)

// upstreamRunner runs the periodic work of one upstream: it applies the lease, grants
// shards to the backend server, probes it, releases shards and reports state and loads.
type upstreamRunner struct {
	spec          configuration.Upstream
	pair          *pair.Pair
	upstream      *upstream.Upstream
	client        *backend.Client
	serverMonitor *serverMonitor
	logger        log.Interface

	// wakeSignal makes run check the lease at once.
	wakeSignal chan struct{}

	// fence is the fence of the current lease; 0 without a lease.
	fence fence.Fence
	// grantedFence and grantedShards are those of the latest grant.
	grantedFence  fence.Fence
	grantedShards []shard.Shard
	grantInFlight atomic.Bool
	// grantRequested asks for a grant before nextGrant.
	grantRequested atomic.Bool
	nextGrant      time.Time
	nextLoadReport time.Time
	leaseExpired   bool
}

func newUpstreamRunner(service string, spec configuration.Upstream, p *pair.Pair, suspects *suspect.List, d backend.Dialer, logger log.Interface) *upstreamRunner {
	client := backend.New(spec.Address, spec.Connections, d)
	m := newServerMonitor(client, spec.Slots, time.Now())
	return &upstreamRunner{
		spec: spec, pair: p, client: client, serverMonitor: m,
		upstream:   upstream.New(service, spec, p, client, suspects, m),
		logger:     logger.WithField("upstream", spec.Name),
		wakeSignal: make(chan struct{}, 1),
	}
}

// run calls tick when woken and, while there is a lease, every tickInterval, until the
// context ends. Without a lease it only waits for wake, because a data centre has far more
// upstreams than a process has leases.
func (r *upstreamRunner) run(ctx context.Context) {
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
		case <-r.wakeSignal:
		case <-ticks:
		}
	}
}

// wake makes run check the lease at once.
func (r *upstreamRunner) wake() {
	select {
	case r.wakeSignal <- struct{}{}:
	default:
	}
}

// tick does the work that is due. It first copies what it needs from the lease, because the
// lock of the upstream must be taken before that of the lease.
func (r *upstreamRunner) tick(ctx context.Context, now time.Time) {
	var (
		f         fence.Fence
		shards    []shard.Shard
		releasing []shard.Shard
		handovers []control.Release
		unexpired bool
	)
	r.pair.Holder(func(h *lease.Holder) {
		f, shards, unexpired = h.CurrentLease(now, r.spec.Name)
		releasing = h.Releasing(r.spec.Name)
		handovers = h.Handovers(r.spec.Name)
	})
	r.applyLease(now, f, shards, handovers, unexpired)
	r.upstream.Tick(now)
	for _, s := range releasing {
		if release, ok := r.upstream.Release(now, s); ok {
			r.pair.Holder(func(h *lease.Holder) { h.MarkIdle(now, r.spec.Name, release) })
			r.grantRequested.Store(true)
		}
	}
	if f == 0 {
		return
	}
	if f != r.grantedFence || !slices.Equal(shards, r.grantedShards) {
		r.grantedFence, r.grantedShards = f, shards
		r.grantRequested.Store(true)
	}
	if r.spec.Fenced && unexpired && (r.grantRequested.Load() || !now.Before(r.nextGrant)) {
		r.nextGrant = now.Add(grantInterval)
		r.startGrant(ctx)
	}
	r.reportServer(ctx, now)
}

// applyLease passes the fence, the shards and the handed-over operation records of the lease
// to the upstream. The fence is 0 without a lease.
func (r *upstreamRunner) applyLease(now time.Time, f fence.Fence, shards []shard.Shard, handovers []control.Release, unexpired bool) {
	if f == 0 && r.fence != 0 {
		r.logger.WithField("fence", r.fence.String()).Info("lease ended")
		r.upstream.EndLease()
	}
	if f != 0 {
		if f != r.fence {
			r.logger.WithField("fence", f.String()).WithField("shards", len(shards)).Info("lease began")
		}
		if err := r.upstream.TakeOverLease(now, f, shards, handovers); err != nil {
			r.logger.WithError(err).Error("adopting handed-over operation records failed")
		}
	}
	r.fence = f
	// When the lease expires, waiting requests get a response with Reroute set, so that they are sent
	// to another leaseholder.
	if expired := f != 0 && !unexpired; expired != r.leaseExpired {
		r.leaseExpired = expired
		if expired {
			r.logger.Warn("lease expired")
			r.upstream.CancelWaiting()
		}
	}
}

// reportServer passes the state of the server to the upstream, and reports it with the loads
// to the controller.
func (r *upstreamRunner) reportServer(ctx context.Context, now time.Time) {
	state, changed := r.serverMonitor.tick(ctx, now)
	if changed {
		r.logger.WithField("state", state.String()).Warn("backend server changed state")
	}
	r.upstream.SetResponding(r.serverMonitor.acceptsRequests())
	if r.serverMonitor.refusesConnections() {
		r.upstream.ServerProcessEnded()
	}
	r.upstream.SetSlots(r.serverMonitor.usableSlots())
	var loads []control.ShardLoad
	if !now.Before(r.nextLoadReport) {
		r.nextLoadReport = now.Add(loadInterval)
		loads = r.upstream.CollectLoads(now)
	}
	r.pair.Holder(func(h *lease.Holder) { h.SetServerReport(now, r.spec.Name, state, loads) })
}

// startGrant sends a fenced server its shards and the end of the lease in the background.
// Only one grant is in flight at a time; one that fails is requested again.
func (r *upstreamRunner) startGrant(ctx context.Context) {
	if !r.grantInFlight.CompareAndSwap(false, true) {
		return
	}
	r.grantRequested.Store(false)
	go func() {
		defer r.grantInFlight.Store(false)
		if !r.sendGrant(ctx) {
			r.grantRequested.Store(true)
		}
	}()
}

// sendGrant sends a grant, if there is anything to grant. It returns false if the grant
// failed or the server refused it.
func (r *upstreamRunner) sendGrant(ctx context.Context) bool {
	now := time.Now()
	var (
		grant    lease.Grant
		deadline time.Time
		ok       bool
	)
	r.pair.Holder(func(h *lease.Holder) {
		grant, ok = h.Grant(now, r.spec.Name, 0, now)
		deadline = h.Deadline()
	})
	if !ok {
		return true
	}
	grantCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if _, err := r.client.Grant(grantCtx, grant.Fence, grant.Revision, grant.Shards, deadline); err != nil {
		r.logger.WithError(err).Debug("granting shards to the backend server failed")
		return false
	}
	r.pair.Holder(func(h *lease.Holder) { h.GrantAccepted(time.Now(), r.spec.Name, grant) })
	return true
}
