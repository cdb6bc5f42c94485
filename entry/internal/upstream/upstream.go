// Package upstream runs requests at one backend server on behalf of its leaseholder.
//
// An Upstream combines the lease, the queue, the ticket table, the failure monitor
// and the HTTP client of the server. It checks the lease when a request arrives and
// again immediately before it sends the request; in between, the request waits for
// a slot. If the lease has ended, the request was not run and gets a response with
// Reroute set, so that the entry VM that received it from the client forwards it to
// the next leaseholder.
//
// Lock order: the mutex of an Upstream is acquired before those of the lease and
// the ticket table, never after.
//
// # Usage
//
//	u := upstream.New(service, spec, lease, server, suspects, monitor)
//	u.ApplyPreset(preset)
//	err := u.TakeOverLease(now, fence, shards, handovers)
//	response := u.Handle(ctx, request)
package upstream

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/hotkey"
	"bramleystand.org/entry/internal/queue"
	"bramleystand.org/entry/internal/ticket"
)

// tableLimits bounds the memory of the ticket table of one upstream.
var tableLimits = ticket.Limits{Operations: 100_000, Bytes: 32 << 20}

const (
	// trackedKeys is the number of keys whose load is tracked.
	trackedKeys = 256
	// dumpedKeys is the number of keys that a dump shows.
	dumpedKeys = 10
)

// Lease tells which requests this process may send to the upstream. FenceFor returns the fence of the current
// lease if it includes the shard; Deadline returns when the lease ends unless it is renewed.
type Lease interface {
	FenceFor(now time.Time, upstream string, s shard.Shard) (fence.Fence, bool)
	Deadline() time.Time
}

// Server sends requests to the backend server.
type Server interface {
	Do(ctx context.Context, r *backend.Request) (*backend.Response, error)
}

// Upstream runs requests at one backend server.
type Upstream struct {
	service  string
	spec     configuration.Upstream
	lease    Lease
	server   Server
	suspects CrashSuspects
	monitor  Monitor
	queue    *queue.Queue

	mu sync.Mutex
	// tickets is the ticket table of the lease that fence identifies; it is nil without a lease.
	tickets *ticket.Table
	fence   fence.Fence
	// running counts the requests of each shard that are at the server, and the final actions whose ticket has been
	// redeemed.
	running map[shard.Shard]int
	// blockedUntil is the time until which a shard must not be released, because an unfenced server may still be
	// running one of its requests whose outcome is unknown.
	blockedUntil map[shard.Shard]time.Time
	// connectionBroken is the same for requests whose connection the server broke. When the process of the server
	// has ended, these requests are no longer running and the entries are removed.
	connectionBroken map[shard.Shard]time.Time
	// failed is set while the server does not respond; serverCtx is cancelled when it fails.
	failed          bool
	serverCtx       context.Context
	cancelServerCtx context.CancelFunc
	loadMeter       loadMeter
	hotKeys         *hotkey.Sketch
	// overdueEstimator tells when a response is overdue.
	overdueEstimator overdueEstimator
	// waitContexts cancels the requests of a shard that wait for a slot when another leaseholder must run them.
	waitContexts map[shard.Shard]waitContext
}

// New returns an upstream without a lease.
func New(service string, spec configuration.Upstream, l Lease, server Server, suspects CrashSuspects, monitor Monitor) *Upstream {
	u := &Upstream{
		service: service, spec: spec, lease: l, server: server, suspects: suspects, monitor: monitor,
		queue:            queue.New(spec.Slots, time.Now),
		running:          make(map[shard.Shard]int),
		waitContexts:     make(map[shard.Shard]waitContext),
		blockedUntil:     make(map[shard.Shard]time.Time),
		connectionBroken: make(map[shard.Shard]time.Time),
		loadMeter:        newLoadMeter(time.Now()),
		hotKeys:          hotkey.New(trackedKeys, time.Now()),
	}
	u.serverCtx, u.cancelServerCtx = context.WithCancel(context.Background())
	return u
}

// ApplyPreset applies the queue limits of a preset.
func (u *Upstream) ApplyPreset(p configuration.Preset) {
	u.queue.SetLimits(p)
}

// SetSlots changes the number of slots. A server that has just started gets fewer slots until it is warm.
func (u *Upstream) SetSlots(n int) {
	u.queue.SetSlots(n)
}

// Tick updates the queue and removes expired tickets. It must be called about every 100 ms or more often.
func (u *Upstream) Tick(now time.Time) {
	u.queue.Tick()
	u.mu.Lock()
	t := u.tickets
	u.mu.Unlock()
	if t != nil {
		t.Expire(now)
	}
}

// TakeOverLease takes over the lease with the given fence, its shards and the handovers of their previous leaseholders. It
// processes all handovers and returns the first error. Requests that wait under an earlier lease get a response
// with Reroute set.
func (u *Upstream) TakeOverLease(now time.Time, f fence.Fence, shards []shard.Shard, handovers []control.Release) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f != u.fence {
		u.fence = f
		u.tickets = ticket.New(u.service, f, tableLimits, now)
		u.cancelAllWaiting()
	}
	if u.tickets == nil {
		return nil
	}
	var first error
	for _, h := range handovers {
		if err := u.tickets.Receive(now, ticket.Handover{Shard: h.Shard, TicketRanges: h.TicketRanges, Records: h.Records}); err != nil && first == nil {
			first = err
		}
	}
	for _, s := range shards {
		u.tickets.Add(s)
	}
	return first
}

// EndLease ends the lease. Waiting requests get a response with Reroute set.
func (u *Upstream) EndLease() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fence, u.tickets = 0, nil
	u.cancelAllWaiting()
}

// CancelWaiting ends all waiting requests with a response that has Reroute set, because the lease has expired.
func (u *Upstream) CancelWaiting() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelAllWaiting()
}

// cancelAllWaiting cancels all requests that wait for a slot. The mutex is held.
func (u *Upstream) cancelAllWaiting() {
	for s := range u.waitContexts {
		u.cancelWaiting(s)
	}
}

// cancelWaiting cancels the requests of a shard that wait for a slot. The mutex is held.
func (u *Upstream) cancelWaiting(s shard.Shard) {
	if w, ok := u.waitContexts[s]; ok {
		w.cancel()
		delete(u.waitContexts, s)
	}
}

// waitContext returns a context that is cancelled when another leaseholder must run the requests of the shard.
func (u *Upstream) waitContext(s shard.Shard) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	w, ok := u.waitContexts[s]
	if !ok {
		w.ctx, w.cancel = context.WithCancel(context.Background())
		u.waitContexts[s] = w
	}
	return w.ctx
}

// Release gives up a shard and returns its handover. It returns false while requests for the shard are running or
// may still be running at an unfenced server. Requests that wait for a slot get a response with Reroute set.
func (u *Upstream) Release(now time.Time, s shard.Shard) (control.Release, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelWaiting(s)
	if u.running[s] > 0 || u.releaseBlocked(now, s) {
		return control.Release{}, false
	}
	u.unblockRelease(s)
	out := control.Release{Shard: s, ReleasedFence: u.fence}
	if u.tickets == nil {
		return out, true
	}
	if h, ok := u.tickets.Release(now, s); ok {
		out.TicketRanges, out.Records = h.TicketRanges, h.Records
	}
	return out, true
}

// CollectLoads returns the mean number of slots that each shard has used since the last call.
func (u *Upstream) CollectLoads(now time.Time) []control.ShardLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loadMeter.collect(now)
}

// State is a snapshot of an upstream for dumps.
type State struct {
	Queue   queue.State
	Tickets *ticket.State
	Running int
	// Hot lists the keys with the highest load.
	Hot []hotkey.Counter
}

// State returns a snapshot of the upstream.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{Queue: u.queue.State(), Hot: u.hotKeys.Top(dumpedKeys)}
	for _, n := range u.running {
		s.Running += n
	}
	if u.tickets != nil {
		t := u.tickets.State()
		s.Tickets = &t
	}
	return s
}
