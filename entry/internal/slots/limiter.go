package slots

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/placement"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
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
	rates          Rates
	logger         log.Interface

	mu sync.Mutex
	// links are the links to the allocators of other processes.
	links map[linkID]*linkEntry
	// excluded holds the failed allocators, by process name, with the end of their exclusion, and
	// placementExcluded those that place no requests.
	excluded          map[string]time.Time
	placementExcluded map[string]time.Time
	// pools has the pools by service, and poolEstimates what the latest replies said of them.
	pools         map[string]*servicePools
	poolEstimates map[poolKey]poolEstimate
	view          *view.View
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

// linkID identifies a link to an allocator.
type linkID struct {
	name   string
	method string
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
func New(ctx context.Context, self election.Member, a *Allocator, p Peers, m Members, t *requestlimit.Table, r Rates, v *view.View, logger log.Interface) *Limiter {
	lm := &Limiter{
		ctx: ctx, self: self, allocator: a, peers: p, members: m, limits: t, rates: r, logger: logger, links: make(map[linkID]*linkEntry), view: v,
		excluded: make(map[string]time.Time), placementExcluded: make(map[string]time.Time),
		pools: make(map[string]*servicePools), poolEstimates: make(map[poolKey]poolEstimate), waitEstimates: make(map[registry.Instance]waitEstimate),
		pending: make(map[uint64]chan reply), fallback: NewAllocator(t, r, v),
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
	if l := lm.rates.Get(now, r.Server.Instance); l.IsCurrent(now) {
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
	if now := time.Now(); lm.rates.IsCold(now, r.Server.Instance) {
		// The smallest share of each of some hundred processes would exceed what a cold server bears.
		return nil, &dispatch.RefusalError{RetryAt: now.Add(exclusionTime), OverLimit: true, Limit: lm.rates.Get(now, r.Server.Instance)}
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
	lm.updateAllocators(now, members)
	selected := selectAllocator(lm.allocators, s)
	return selected.Name, selected, len(lm.excluded) > 0 && selected.Name != selectAllocator(lm.regular, s).Name
}

// updateAllocators selects the allocators anew if the members have changed or an exclusion has ended. The lock is
// held.
func (lm *Limiter) updateAllocators(now time.Time, members []election.Member) {
	ended := func(_ string, until time.Time) bool { return !now.Before(until) }
	if before := len(lm.excluded); before > 0 {
		if maps.DeleteFunc(lm.excluded, ended); len(lm.excluded) < before {
			lm.allocators = nil
		}
	}
	if before := len(lm.placementExcluded); before > 0 {
		if maps.DeleteFunc(lm.placementExcluded, ended); len(lm.placementExcluded) < before {
			clear(lm.pools)
		}
	}
	if lm.allocators == nil || !slices.Equal(members, lm.knownMembers) {
		lm.knownMembers, lm.allocators, lm.regular = members, selectAllocators(members, lm.excluded), selectAllocators(members, nil)
		clear(lm.pools)
	}
}

// acquireRemote requests a slot from an allocator in another process. It returns errLinkLost if
// the allocator has failed.
func (lm *Limiter) acquireRemote(ctx context.Context, name string, to election.Member, m message) (dispatch.Slot, error) {
	r, m, release, err := lm.askRemote(ctx, linkID{name, slotsMethod}, to, m)
	if err != nil {
		return nil, err
	}
	return lm.handleReply(r, m, release)
}

// askRemote sends a request to an allocator in another process. It returns the reply, the message with its
// number, and the function that releases the slot or withdraws the request.
func (lm *Limiter) askRemote(ctx context.Context, key linkID, to election.Member, m message) (reply, message, func(message), error) {
	l := lm.link(ctx, key, to)
	if l == nil {
		if ctx.Err() != nil {
			return reply{}, m, nil, context.Cause(ctx)
		}
		return reply{}, m, nil, errLinkLost
	}
	number, replies, err := l.acquire(m)
	if err != nil {
		return reply{}, m, nil, errLinkLost
	}
	m.number = number
	select {
	case r, open := <-replies:
		if !open {
			return reply{}, m, nil, errLinkLost
		}
		return r, m, l.release, nil
	case <-ctx.Done():
		l.release(m)
		return reply{}, m, nil, context.Cause(ctx)
	}
}

// acquireLocal requests a slot from an allocator in this process.
func (lm *Limiter) acquireLocal(ctx context.Context, a *Allocator, m message) (dispatch.Slot, error) {
	r, m, release, err := lm.askLocal(ctx, a, m)
	if err != nil {
		return nil, err
	}
	return lm.handleReply(r, m, release)
}

// askLocal is askRemote for an allocator in this process.
func (lm *Limiter) askLocal(ctx context.Context, a *Allocator, m message) (reply, message, func(message), error) {
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
		return r, m, releaseLocal, nil
	case <-ctx.Done():
		releaseLocal(m)
		return reply{}, m, nil, context.Cause(ctx)
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
func (lm *Limiter) link(ctx context.Context, key linkID, to election.Member) *link {
	lm.mu.Lock()
	e := lm.links[key]
	if e == nil {
		e = &linkEntry{ready: make(chan struct{})}
		lm.links[key] = e
		go lm.openLink(key, to, e)
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
func (lm *Limiter) openLink(key linkID, to election.Member, e *linkEntry) {
	l, err := connect(lm.ctx, lm.peers, to.Address, key.method, func(waiting int) {
		lm.logger.WithFields(log.Fields{"allocator": key.name, "waiting": waiting}).Info("connection to allocator closed")
		lm.close(key, e, true)
	})
	if err != nil {
		lm.close(key, e, false)
	}
	e.link = l
	close(e.ready)
}

// close removes a link that could not be opened or is lost. Unless it was closed because it
// was idle, its allocator is excluded for exclusionTime.
func (lm *Limiter) close(key linkID, e *linkEntry, opened bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if lm.links[key] == e {
		delete(lm.links, key)
	}
	if opened && (e.link == nil || !e.link.recentlyUsed()) {
		return
	}
	until := time.Now().Add(exclusionTime)
	if key.method == placementMethod {
		lm.placementExcluded[key.name] = until
		clear(lm.pools)
		return
	}
	lm.excluded[key.name] = until
	lm.allocators = nil
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
	if p := s.message.placed; p != nil {
		p.outcome = placement.Outcome{ServiceTime: o.ServiceTime, Failed: o.Failed, NotRun: o.NotRun, Load: o.Load}
	}
	s.release(s.message)
}
