package slots

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
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
	// MembersConfirmed reports whether the coordinator has confirmed the members lately.
	MembersConfirmed() bool
}

// Limiter implements dispatch.Limiter with the allocators of all processes. It is safe for
// concurrent use.
type Limiter struct {
	ctx  context.Context
	self election.Member
	// allocator is that of this process, and localRequester identifies this process to it and to
	// fallback.
	allocator      *Allocator
	localRequester *requester
	peers          Peers
	members        Members
	limits         *requestlimit.Table
	logger         log.Interface

	mu sync.Mutex
	// links are the links to the allocators of other processes, by process name.
	links map[string]*linkEntry
	// excluded holds the failed allocators, by process name, with the end of their exclusion.
	excluded map[string]time.Time
	// allocators has the allocators by data centre, selected from knownMembers. It is nil if
	// they must be selected anew.
	allocators map[string][]election.Member
	// regular has the allocators that are selected while none has failed.
	regular       map[string][]election.Member
	knownMembers  []election.Member
	waitEstimates map[registry.Instance]waitEstimate
	// pending has a channel for each local request without a reply, by its number.
	pending    map[uint64]chan reply
	lastNumber uint64
	// fallback allocates this process's share of the slots of servers whose allocator has failed.
	fallback *Allocator
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

// New returns a limiter whose links end with the context.
func New(ctx context.Context, self election.Member, a *Allocator, p Peers, m Members, t *requestlimit.Table, logger log.Interface) *Limiter {
	lm := &Limiter{
		ctx: ctx, self: self, allocator: a, peers: p, members: m, limits: t, logger: logger, links: make(map[string]*linkEntry),
		excluded: make(map[string]time.Time), waitEstimates: make(map[registry.Instance]waitEstimate),
		pending: make(map[uint64]chan reply), fallback: NewAllocator(t),
	}
	lm.localRequester = &requester{reply: lm.deliverLocal}
	return lm
}

// Run runs the allocator that is used while another one has failed, until the context ends.
func (lm *Limiter) Run(ctx context.Context) { lm.fallback.Run(ctx) }

// ExpectedWait implements dispatch.Limiter. Without a recent estimate, a server that limits its requests
// is expected to take the next one after the mean time between two, because other processes send to it too.
func (lm *Limiter) ExpectedWait(r dispatch.SlotRequest) time.Duration {
	now := time.Now()
	lm.mu.Lock()
	defer lm.mu.Unlock()
	e := lm.waitEstimates[r.Server.Instance]
	if now.Sub(e.at) <= estimateLifetime {
		return e.wait
	}
	if l := lm.limits.Get(now, r.Server.Instance); l.IsCurrent(now) {
		return l.Interval()
	}
	return 0
}

// Acquire implements dispatch.Limiter.
func (lm *Limiter) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	m := message{
		instance: r.Server.Instance, slots: r.Server.Slots, rank: r.Rank,
		arrived: r.Arrived, objective: r.Objective, deadline: r.Deadline,
	}
	for range maxAllocatorAttempts {
		now := time.Now()
		name, member, substitute := lm.allocatorOf(now, r.Server)
		m.limit, m.share = lm.limits.Get(now, r.Server.Instance), 1
		if substitute || !lm.members.MembersConfirmed() {
			m.share = substituteShare
		}
		if name == lm.self.Name {
			return lm.acquireLocal(ctx, lm.allocator, m)
		}
		if name == "" {
			break
		}
		s, err := lm.acquireRemote(ctx, name, member, m)
		if !errors.Is(err, errLinkLost) {
			return s, err
		}
	}
	m.slots = max(1, m.slots/fallbackDivisor)
	m.share = 1 / float64(max(1, len(lm.members.Members())))
	return lm.acquireLocal(ctx, lm.fallback, m)
}

// maxAllocatorAttempts is the number of allocators that a request is sent to before it uses the share of
// its process. If the requests that wait at an allocator all used these shares when it stops, they would
// be sent to the server at once and wait there.
const maxAllocatorAttempts = 2

// substituteShare is the part of a server's request limit that an allocator gives out while another one may
// give out the limit too: it replaces the regular one, or the members are out of date, as they are after a
// start or a partition. Servers bear one and a half times their limit.
const substituteShare = 0.5

// fallbackDivisor divides a server's slots into the shares that each process uses while there is
// no allocator. Of the ten processes of a deployment, two or three send requests to the same server
// at a time.
const fallbackDivisor = 2

// allocatorOf returns the process that allocates the slots of a server: one of the allocators of
// the server's data centre, selected by rendezvous hashing. The name is empty if there is none. The third
// result is true if it replaces one that has failed.
func (lm *Limiter) allocatorOf(now time.Time, s registry.Server) (string, election.Member, bool) {
	members := lm.members.Members()
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for name, until := range lm.excluded {
		if !now.Before(until) {
			delete(lm.excluded, name)
			lm.allocators = nil
		}
	}
	if lm.allocators == nil || !slices.Equal(members, lm.knownMembers) {
		lm.knownMembers, lm.allocators, lm.regular = members, selectAllocators(members, lm.excluded), selectAllocators(members, nil)
	}
	selected := selectAllocator(lm.allocators, s)
	return selected.Name, selected, len(lm.excluded) > 0 && selected.Name != selectAllocator(lm.regular, s).Name
}

// acquireRemote requests a slot from an allocator in another process. It returns errLinkLost if
// the allocator has failed.
func (lm *Limiter) acquireRemote(ctx context.Context, name string, to election.Member, m message) (dispatch.Slot, error) {
	l := lm.link(ctx, name, to)
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
		return lm.handleReply(r, m, l.release)
	case <-ctx.Done():
		l.release(m)
		return nil, context.Cause(ctx)
	}
}

// acquireLocal requests a slot from an allocator in this process.
func (lm *Limiter) acquireLocal(ctx context.Context, a *Allocator, m message) (dispatch.Slot, error) {
	c := make(chan reply, 1)
	lm.mu.Lock()
	lm.lastNumber++
	m.number = lm.lastNumber
	lm.pending[m.number] = c
	lm.mu.Unlock()
	m.action = acquire
	a.handle(time.Now(), lm.localRequester, m)
	releaseLocal := func(m message) {
		lm.mu.Lock()
		delete(lm.pending, m.number)
		lm.mu.Unlock()
		m.action = release
		a.handle(time.Now(), lm.localRequester, m)
	}
	select {
	case r := <-c:
		return lm.handleReply(r, m, releaseLocal)
	case <-ctx.Done():
		releaseLocal(m)
		return nil, context.Cause(ctx)
	}
}

// deliverLocal passes a reply of an allocator in this process to its request.
func (lm *Limiter) deliverLocal(r reply) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if c, ok := lm.pending[r.number]; ok {
		delete(lm.pending, r.number)
		c <- r
	}
}

// handleReply records the estimated wait and returns the slot or the refusal.
func (lm *Limiter) handleReply(r reply, m message, release func(message)) (dispatch.Slot, error) {
	now := time.Now()
	lm.mu.Lock()
	if len(lm.waitEstimates) > maxEstimates {
		clear(lm.waitEstimates)
	}
	lm.waitEstimates[m.instance] = waitEstimate{wait: r.wait, at: now}
	lm.mu.Unlock()
	lm.limits.Merge(now, m.instance, r.limit)
	if !r.started {
		return nil, &dispatch.RefusalError{RetryAt: now.Add(r.retry), OverLimit: r.overLimit, Limit: r.limit}
	}
	return &slot{message: m, granted: now, limits: lm.limits, release: release}, nil
}

// maxEstimates bounds the servers whose estimated wait is stored.
const maxEstimates = 4096

// link returns the link to an allocator and opens it if there is none. It returns nil if
// the link can't be opened.
func (lm *Limiter) link(ctx context.Context, name string, to election.Member) *link {
	lm.mu.Lock()
	e := lm.links[name]
	if e == nil {
		e = &linkEntry{ready: make(chan struct{})}
		lm.links[name] = e
		go lm.openLink(name, to, e)
	}
	lm.mu.Unlock()
	select {
	case <-e.ready:
		return e.link
	case <-ctx.Done():
		return nil
	}
}

// openLink opens a link. If that fails, the allocator is excluded for exclusionTime.
func (lm *Limiter) openLink(name string, to election.Member, e *linkEntry) {
	l, err := connect(lm.ctx, lm.peers, to.Address, func(waiting int) {
		lm.logger.WithFields(log.Fields{"allocator": name, "waiting": waiting}).Info("connection to allocator closed")
		lm.close(name, e, true)
	})
	if err != nil {
		lm.close(name, e, false)
	}
	e.link = l
	close(e.ready)
}

// close removes a link that could not be opened or is lost. Unless it was closed because it
// was idle, its allocator is excluded for exclusionTime.
func (lm *Limiter) close(name string, e *linkEntry, opened bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if lm.links[name] == e {
		delete(lm.links, name)
	}
	if !opened || e.link != nil && e.link.recentlyUsed() {
		lm.excluded[name] = time.Now().Add(exclusionTime)
		lm.allocators = nil
	}
}

// slot implements dispatch.Slot.
type slot struct {
	message message
	// granted is when this process got the slot.
	granted time.Time
	limits  *requestlimit.Table
	release func(message)
}

// Release implements dispatch.Slot.
func (s *slot) Release(o dispatch.Outcome) {
	now := time.Now()
	if o.LimitErr != nil {
		s.limits.ObserveInvalid(now, s.message.instance, o.LimitErr)
	}
	s.limits.Observe(now, s.message.instance, s.granted, o.Limit)
	s.message.serviceTime, s.message.limit = o.ServiceTime, s.limits.Get(now, s.message.instance)
	s.release(s.message)
}
