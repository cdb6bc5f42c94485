// Package upstream runs requests at one backend server on behalf of its leaseholder.
//
// It joins the lease, the queue, the operation table, the detector and the HTTP
// client of the server. The lease is checked when a request arrives and again
// right before it is sent; in between it waits for a slot. A request that finds
// the lease gone was not run and is answered as moved, so that the entry VM that
// has its caller sends it to the next leaseholder.
//
// Locks: an Upstream's mutex is taken before those of the lease and the operation
// table, never after.
//
// # Usage
//
//	u := upstream.New(service, spec, leases, server, clock)
//	u.Limits(preset)
//	u.Adopt(now, handovers)
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

// tableLimits bounds the memory of the operation table of one upstream.
var tableLimits = ticket.Limits{Operations: 100_000, Bytes: 32 << 20}

const (
	// hotKeys is the number of keys whose load is counted.
	hotKeys = 256
	// shownKeys is the number of keys that a dump shows.
	shownKeys = 10
)

// Lease tells what this process may send to the upstream.
type Lease interface {
	Allowed(now time.Time, upstream string, s shard.Shard) (fence.Fence, bool)
	Deadline() time.Time
}

// Server sends requests to the backend server.
type Server interface {
	Do(ctx context.Context, r *backend.Request) (*backend.Response, error)
}

// Upstream runs the requests of one upstream.
type Upstream struct {
	service  string
	spec     configuration.Upstream
	lease    Lease
	server   Server
	suspects Suspects
	monitor  Monitor
	queue    *queue.Queue

	mu sync.Mutex
	// tickets is the table of the lease with the fence; it is nil without a lease.
	tickets *ticket.Table
	fence   fence.Fence
	// running counts the requests of each shard that are at the server, and the final actions whose ticket is spent.
	running map[shard.Shard]int
	// barred holds until when an unfenced server may run a request with an unknown outcome.
	barred map[shard.Shard]time.Time
	// broken is the same for requests whose connections the server broke.
	broken map[shard.Shard]time.Time
	// failed says that the server does not answer; serving ends when it fails.
	failed  bool
	serving context.Context
	abort   context.CancelFunc
	loads   loads
	hot     *hotkey.Sketch
	// patience tells when an answer is overdue.
	patience patience
	// waits ends the waiting of the requests of each shard when they must go elsewhere.
	waits map[shard.Shard]wait
}

// New returns an upstream without a lease.
func New(service string, spec configuration.Upstream, l Lease, server Server, suspects Suspects, monitor Monitor) *Upstream {
	u := &Upstream{
		service: service, spec: spec, lease: l, server: server, suspects: suspects, monitor: monitor,
		queue:   queue.New(spec.Slots, time.Now),
		running: make(map[shard.Shard]int),
		waits:   make(map[shard.Shard]wait),
		barred:  make(map[shard.Shard]time.Time),
		broken:  make(map[shard.Shard]time.Time),
		loads:   newLoads(time.Now()),
		hot:     hotkey.New(hotKeys, time.Now()),
	}
	u.serving, u.abort = context.WithCancel(context.Background())
	return u
}

// Limits applies a preset.
func (u *Upstream) Limits(p configuration.Preset) {
	u.queue.Limits(p)
}

// SetSlots changes the number of slots, for servers that start cold.
func (u *Upstream) SetSlots(n int) {
	u.queue.SetSlots(n)
}

// Tick does what is due every 100 ms.
func (u *Upstream) Tick(now time.Time) {
	u.queue.Tick()
	u.mu.Lock()
	t := u.tickets
	u.mu.Unlock()
	if t != nil {
		t.Expire(now)
	}
}

// Adopt takes the lease with the given fence: its shards and what earlier leaseholders handed over.
func (u *Upstream) Adopt(now time.Time, f fence.Fence, shards []shard.Shard, handovers []control.Release) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f != u.fence {
		u.fence = f
		u.tickets = ticket.New(u.service, f, tableLimits, now)
		u.bounceAll()
	}
	if u.tickets == nil {
		return nil
	}
	var first error
	for _, h := range handovers {
		if err := u.tickets.Receive(now, ticket.Handover{Shard: h.Shard, Epochs: h.Epochs, Records: h.Records}); err != nil && first == nil {
			first = err
		}
	}
	for _, s := range shards {
		u.tickets.Add(s)
	}
	return first
}

// Drop forgets the lease; requests that wait are answered as moved.
func (u *Upstream) Drop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fence, u.tickets = 0, nil
	u.bounceAll()
}

// Bounce answers all waiting requests as moved, because the lease has expired.
func (u *Upstream) Bounce() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bounceAll()
}

// bounceAll ends the waiting of all requests. The mutex is held.
func (u *Upstream) bounceAll() {
	for s := range u.waits {
		u.bounce(s)
	}
}

// bounce ends the waiting of the requests of a shard. The mutex is held.
func (u *Upstream) bounce(s shard.Shard) {
	if w, ok := u.waits[s]; ok {
		w.cancel()
		delete(u.waits, s)
	}
}

// wait returns a context that ends when requests of the shard must go elsewhere.
func (u *Upstream) wait(s shard.Shard) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	w, ok := u.waits[s]
	if !ok {
		w.ctx, w.cancel = context.WithCancel(context.Background())
		u.waits[s] = w
	}
	return w.ctx
}

// Release gives up a shard that is being released, once nothing runs for it.
// Requests that wait for a slot are answered as moved.
func (u *Upstream) Release(now time.Time, s shard.Shard) (control.Release, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bounce(s)
	if u.running[s] > 0 || u.isBarred(now, s) {
		return control.Release{}, false
	}
	u.forget(s)
	out := control.Release{Shard: s, History: u.fence}
	if u.tickets == nil {
		return out, true
	}
	if h, ok := u.tickets.Release(now, s); ok {
		out.Epochs, out.Records = h.Epochs, h.Records
	}
	return out, true
}

// Loads returns the load of each shard since the last call.
func (u *Upstream) Loads(now time.Time) []control.ShardLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loads.take(now)
}

// State is a snapshot of an upstream for dumps.
type State struct {
	Queue   queue.State
	Tickets *ticket.State
	Running int
	// Hot holds the most loaded keys.
	Hot []hotkey.Counter
}

// State returns a snapshot.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{Queue: u.queue.State(), Hot: u.hot.Top(shownKeys)}
	for _, n := range u.running {
		s.Running += n
	}
	if u.tickets != nil {
		t := u.tickets.State()
		s.Tickets = &t
	}
	return s
}
