package slots

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
)

const (
	// exclusionTime is how long a failed allocator is not selected.
	exclusionTime = 2 * time.Second
	// estimateLifetime is how long an allocator's estimate of the wait for a server is used.
	estimateLifetime = 300 * time.Millisecond
)

// Members lists the processes that are alive.
type Members interface {
	Members() []election.Member
}

// Gate implements dispatch.Limiter with the allocators of all processes. It is safe for
// concurrent use.
type Gate struct {
	ctx  context.Context
	self election.Member
	// allocator is that of this process, and localClient its client for this process itself.
	allocator   *Keeper
	localClient *client
	peers       Peers
	members     Members

	mu sync.Mutex
	// links are the links to the allocators of other processes, by process name.
	links map[string]*linkEntry
	// excluded holds the failed allocators, by process name, with the end of their exclusion.
	excluded map[string]time.Time
	// allocators has the allocators by data centre, selected from knownMembers. It is nil if
	// they must be selected anew.
	allocators    map[string][]election.Member
	knownMembers  []election.Member
	waitEstimates map[registry.Life]waitEstimate
	// pending has a channel for each local request without a reply, by its number.
	pending    map[uint64]chan reply
	lastNumber uint64
	// fallback allocates this process's share of the slots of servers whose allocator has failed.
	fallback *Keeper
}

// linkEntry is a link that is open or being opened. The link is set, or nil after a failure, when
// ready is closed.
type linkEntry struct {
	ready chan struct{}
	link  *link
}

// waitEstimate is an allocator's estimate of the wait for a server.
type waitEstimate struct {
	wait time.Duration
	at   time.Time
}

// New returns a gate whose links end with the context.
func New(ctx context.Context, self election.Member, k *Keeper, p Peers, m Members) *Gate {
	g := &Gate{
		ctx: ctx, self: self, allocator: k, peers: p, members: m, links: make(map[string]*linkEntry),
		excluded: make(map[string]time.Time), waitEstimates: make(map[registry.Life]waitEstimate),
		pending: make(map[uint64]chan reply), fallback: NewKeeper(),
	}
	g.localClient = &client{reply: g.deliverLocal}
	return g
}

// Run runs the allocator that is used while another one has failed, until the context ends.
func (g *Gate) Run(ctx context.Context) { g.fallback.Run(ctx) }

// ExpectedWait implements dispatch.Limiter.
func (g *Gate) ExpectedWait(r dispatch.SlotRequest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.waitEstimates[r.Server.Life]
	if time.Since(e.at) > estimateLifetime {
		return 0
	}
	return e.wait
}

// Acquire implements dispatch.Limiter.
func (g *Gate) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	now := time.Now()
	m := message{
		life: r.Server.Life, slots: r.Server.Slots, rank: r.Rank,
		waited: now.Sub(r.Arrived), objective: r.Objective.Sub(now), deadline: r.Deadline.Sub(now),
	}
	name, member := g.allocatorOf(now, r.Server)
	switch {
	case name == g.self.Name:
		return g.acquireLocal(ctx, g.allocator, m)
	case name != "":
		s, err := g.acquireRemote(ctx, name, member, m)
		if !errors.Is(err, errLinkLost) {
			return s, err
		}
	}
	m.slots = max(1, m.slots/fallbackDivisor)
	return g.acquireLocal(ctx, g.fallback, m)
}

// fallbackDivisor divides a server's slots into the shares that each process uses while there is
// no allocator. Two or three processes of the ten of a deployment send to one server at a time.
const fallbackDivisor = 2

// allocatorOf returns the process that allocates the slots of a server: one of the allocators of
// the server's data centre, selected by rendezvous hashing. The name is empty if there is none.
func (g *Gate) allocatorOf(now time.Time, s registry.Server) (string, election.Member) {
	members := g.members.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, until := range g.excluded {
		if !now.Before(until) {
			delete(g.excluded, name)
			g.allocators = nil
		}
	}
	if g.allocators == nil || !slices.Equal(members, g.knownMembers) {
		g.knownMembers, g.allocators = members, selectAllocators(members, g.excluded)
	}
	candidates, ok := g.allocators[s.DataCentre]
	if !ok {
		candidates = g.allocators[allDataCentres]
	}
	var best election.Member
	var highest uint64
	for _, m := range candidates {
		if score := xxhash.Sum64String(m.Name + "\x00" + s.ID); best.Name == "" || score > highest {
			best, highest = m, score
		}
	}
	return best.Name, best
}

// acquireRemote requests a slot from an allocator in another process. It returns errLinkLost if
// the allocator has failed.
func (g *Gate) acquireRemote(ctx context.Context, name string, to election.Member, m message) (dispatch.Slot, error) {
	l := g.link(ctx, name, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, errLinkLost
	}
	number, replies, err := l.acquire(m)
	if err != nil {
		return nil, errLinkLost
	}
	m.number = number
	select {
	case r, open := <-replies:
		if !open {
			return nil, errLinkLost
		}
		return g.handleReply(r, m, l.release)
	case <-ctx.Done():
		l.release(m)
		return nil, context.Cause(ctx)
	}
}

// acquireLocal requests a slot from an allocator in this process.
func (g *Gate) acquireLocal(ctx context.Context, k *Keeper, m message) (dispatch.Slot, error) {
	c := make(chan reply, 1)
	g.mu.Lock()
	g.lastNumber++
	m.number = g.lastNumber
	g.pending[m.number] = c
	g.mu.Unlock()
	m.action = acquire
	k.handle(time.Now(), g.localClient, m)
	releaseLocal := func(m message) {
		g.mu.Lock()
		delete(g.pending, m.number)
		g.mu.Unlock()
		m.action = release
		k.handle(time.Now(), g.localClient, m)
	}
	select {
	case r := <-c:
		return g.handleReply(r, m, releaseLocal)
	case <-ctx.Done():
		releaseLocal(m)
		return nil, context.Cause(ctx)
	}
}

// deliverLocal passes a reply of an allocator in this process to its request.
func (g *Gate) deliverLocal(r reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.pending[r.number]; ok {
		delete(g.pending, r.number)
		c <- r
	}
}

// handleReply records the estimated wait and returns the slot or the refusal.
func (g *Gate) handleReply(r reply, m message, release func(message)) (dispatch.Slot, error) {
	now := time.Now()
	g.mu.Lock()
	if len(g.waitEstimates) > maxEstimates {
		clear(g.waitEstimates)
	}
	g.waitEstimates[m.life] = waitEstimate{wait: r.wait, at: now}
	g.mu.Unlock()
	if !r.started {
		return nil, &dispatch.RefusalError{RetryAt: now.Add(r.retry)}
	}
	return &slot{message: m, release: release}, nil
}

// maxEstimates bounds the servers whose estimated wait is stored.
const maxEstimates = 4096

// link returns the link to an allocator and opens it if there is none. It returns nil if
// the link can't be opened.
func (g *Gate) link(ctx context.Context, name string, to election.Member) *link {
	g.mu.Lock()
	e := g.links[name]
	if e == nil {
		e = &linkEntry{ready: make(chan struct{})}
		g.links[name] = e
		go g.open(name, to, e)
	}
	g.mu.Unlock()
	select {
	case <-e.ready:
		return e.link
	case <-ctx.Done():
		return nil
	}
}

// open opens a link. If that fails, the allocator is excluded for exclusionTime.
func (g *Gate) open(name string, to election.Member, e *linkEntry) {
	l, err := connect(g.ctx, g.peers, to.Address, func() { g.close(name, e, true) })
	if err != nil {
		g.close(name, e, false)
	}
	e.link = l
	close(e.ready)
}

// close removes a link that could not be opened or is lost. Unless it was closed because it
// was idle, its allocator is excluded for exclusionTime.
func (g *Gate) close(name string, e *linkEntry, opened bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[name] == e {
		delete(g.links, name)
	}
	if !opened || e.link != nil && e.link.recentlyUsed() {
		g.excluded[name] = time.Now().Add(exclusionTime)
		g.allocators = nil
	}
}

// slot implements dispatch.Slot.
type slot struct {
	message message
	release func(message)
}

// Release implements dispatch.Slot.
func (s *slot) Release(serviceTime time.Duration) {
	s.message.serviceTime = serviceTime
	s.release(s.message)
}
