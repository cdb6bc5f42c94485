// Package slots shares the slots of backend servers among all entry processes.
//
// The slots of each server are allocated by one of the entry processes in its data centre, the
// allocator of the server. A process requests a slot from the allocator, sends the request to the
// server itself and returns the slot; bodies never pass through the allocator. So the limit of a
// server is exact and urgent requests go first, although every process sends requests. When an
// allocator fails, no request is lost: the requests that wait there wait at the next one instead. If
// that can't be reached either, each process uses a fixed share of the slots, and the limit is not exact.
//
// The allocator also keeps to the request limit that a server names in its responses. Every message about
// a server carries the latest such statement that its sender knows, so that the allocator learns of it
// with the slot that is returned, and the next allocator with the first slot that is requested.
//
// For services whose requests may run on any server, one allocator has all servers of a data centre (a pool)
// and selects the server together with the slot.
//
// # Usage
//
//	allocator := slots.NewAllocator(limits, rates, view)
//	limiter := slots.New(ctx, self, allocator, peers, members, limits, rates, view, logger)
//	slot, err := limiter.Acquire(ctx, slotRequest)
//	slot, instance, err := limiter.Place(ctx, placeRequest)
//	defer slot.Release(outcome)
package slots

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/admission"
	"bramleystand.org/entry/internal/placement"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

const (
	// expireInterval is the time between two checks for requests that have waited too long.
	expireInterval = 10 * time.Millisecond
	// idleServerTimeout is how long the scheduler of a server without requests is kept.
	idleServerTimeout = 30 * time.Second
)

// Allocator is the allocator for the servers that are assigned to this process. It is safe for
// concurrent use; replies are sent without holding its lock.
type Allocator struct {
	// wake tells Run that a request has begun to wait.
	wake   chan struct{}
	limits *requestlimit.Table
	// rates has the limits that the requests to servers are kept to.
	rates Rates

	// mu is locked before the lock of limits.
	mu       sync.Mutex
	servers  map[registry.Instance]*serverState
	requests map[requestID]activeRequest
	pools    map[poolKey]*pool
	// lastPlaced is the identifier of the last request in the ledgers of the pools.
	lastPlaced uint64
	view       *view.View
}

// Rates has the request limits of servers, those of cold ones included.
type Rates interface {
	// Get returns the limit of a server.
	Get(now time.Time, inst registry.Instance) requestlimit.Limit
	// IsCold reports whether the limit must be kept to by all processes together, because the server is cold.
	IsCold(now time.Time, inst registry.Instance) bool
}

// activeRequest is a request with the server whose slot it has or waits for.
type activeRequest struct {
	request *admission.Request
	server  registry.Instance
	// pool is the pool that the request was placed in, or nil, and placedID its identifier there.
	pool     *pool
	placedID uint64
}

// serverState is the scheduler of a server with the time of its last use.
type serverState struct {
	scheduler *admission.Scheduler
	lastUsed  time.Time
	// share is the part of the server's request limit that this allocator gives out until shareEnd: the
	// largest that a process has asked for lately.
	share    float64
	shareEnd time.Time
	// overLimit counts the requests that were refused because of the request limit.
	overLimit int
}

// updateShare records the share that a process asks for. An invalid one counts as the
// smallest.
func (s *serverState) updateShare(now time.Time, share float64) {
	if !(share >= minShare && share <= 1) {
		share = minShare
	}
	if share >= s.share || now.After(s.shareEnd) {
		s.share, s.shareEnd = share, now.Add(exclusionTime)
	}
}

// minShare is the smallest part of a request limit that an allocator gives out.
const minShare = 0.001

// requestID identifies a request of a process.
type requestID struct {
	requester *requester
	number    uint64
}

// requester is a process that requests slots, with the function that sends it a reply.
type requester struct {
	reply func(reply)
}

// NewAllocator returns an allocator without servers.
func NewAllocator(t *requestlimit.Table, r Rates, v *view.View) *Allocator {
	return &Allocator{wake: make(chan struct{}, 1), limits: t, rates: r, servers: make(map[registry.Instance]*serverState), requests: make(map[requestID]activeRequest), pools: make(map[poolKey]*pool), view: v}
}

// Run refuses requests that have waited too long, until the context ends. It sleeps while
// nothing waits, because each wake-up takes processor time.
func (a *Allocator) Run(ctx context.Context) {
	timer := time.NewTimer(idleServerTimeout)
	defer timer.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			// A steady flow of new requests must not put off the next check.
			if !waiting {
				waiting = true
				timer.Reset(expireInterval)
			}
		case now := <-timer.C:
			waiting = a.expire(now)
			if waiting {
				timer.Reset(expireInterval)
			} else {
				timer.Reset(idleServerTimeout)
			}
		}
	}
}

// expire refuses requests that have waited too long and removes servers that have been idle for
// idleServerTimeout. It reports whether requests still wait.
func (a *Allocator) expire(now time.Time) bool {
	a.mu.Lock()
	waiting := false
	var replies []addressedReply
	for inst, s := range a.servers {
		if s.scheduler.HasQueued() {
			replies = append(replies, a.toReplies(now, s, s.scheduler.Expire(now))...)
			waiting = waiting || s.scheduler.HasQueued()
		} else if s.scheduler.Idle() && now.Sub(s.lastUsed) > idleServerTimeout {
			delete(a.servers, inst)
		}
	}
	for key, p := range a.pools {
		if now.Sub(p.lastUsed) > idleServerTimeout {
			delete(a.pools, key)
		}
	}
	a.mu.Unlock()
	sendAll(replies)
	return waiting
}

// addressedReply is a reply with the process that gets it.
type addressedReply struct {
	to    *requester
	reply reply
}

func sendAll(replies []addressedReply) {
	for _, r := range replies {
		r.to.reply(r.reply)
	}
}

// handle handles a message of a process.
func (a *Allocator) handle(now time.Time, from *requester, m message) {
	sendAll(a.decide(now, from, m))
}

// decide returns the replies to a message.
func (a *Allocator) decide(now time.Time, from *requester, m message) []addressedReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m.action {
	case acquire:
		if m.placed != nil {
			return a.place(now, from, m)
		}
		return a.acquire(now, from, m)
	case release:
		return a.release(now, requestID{from, m.number}, m)
	}
	return nil
}

// acquire submits a request to the scheduler of its server. The lock is held.
func (a *Allocator) acquire(now time.Time, from *requester, m message) []addressedReply {
	s := a.servers[m.instance]
	if s == nil {
		s = &serverState{scheduler: admission.New(m.slots)}
		a.servers[m.instance] = s
	}
	s.lastUsed = now
	s.scheduler.SetSlots(m.slots)
	s.updateShare(now, m.share)
	a.applyLimit(now, s, m)
	r := &admission.Request{
		Rank: m.rank, Arrived: m.arrived, Objective: m.objective, Deadline: m.deadline,
		Tag: requestID{from, m.number},
	}
	a.requests[requestID{from, m.number}] = activeRequest{request: r, server: m.instance}
	out := a.toReplies(now, s, s.scheduler.Submit(now, r))
	a.wakeIfQueued(s)
	return out
}

// wakeIfQueued makes Run check for requests that have waited too long if some wait for a server.
func (a *Allocator) wakeIfQueued(s *serverState) {
	if !s.scheduler.HasQueued() {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// applyLimit records the statement of a server that a message carries and limits its requests by the
// latest one. The lock is held.
func (a *Allocator) applyLimit(now time.Time, s *serverState, m message) {
	a.limits.Merge(now, m.instance, m.limit)
	if l := a.rates.Get(now, m.instance); l.InForce {
		s.scheduler.SetRate(now, l.Rate()*s.share)
		return
	}
	s.scheduler.ClearRate()
}

// release frees the slot of a request, or withdraws a request that waits. The lock is held.
func (a *Allocator) release(now time.Time, id requestID, m message) []addressedReply {
	r, ok := a.requests[id]
	m.instance = r.server
	s := a.servers[m.instance]
	if !ok || s == nil {
		return nil
	}
	delete(a.requests, id)
	if r.pool != nil {
		outcome := placement.Outcome{NotRun: true}
		if m.placed != nil {
			outcome = m.placed.outcome
		}
		r.pool.ledger.End(now, r.server, r.placedID, outcome)
	}
	s.lastUsed = now
	a.applyLimit(now, s, m)
	return a.toReplies(now, s, s.scheduler.Finish(now, r.request, m.serviceTime))
}

// toReplies turns the decisions of a scheduler into replies and removes the refused requests. The
// lock is held.
func (a *Allocator) toReplies(now time.Time, s *serverState, decisions []admission.Decision) []addressedReply {
	var out []addressedReply
	for _, d := range decisions {
		id := d.Request.Tag.(requestID)
		active := a.requests[id]
		r := reply{
			number: id.number, started: d.Started, wait: s.scheduler.ExpectedWait(now, d.Request.Rank),
			limit: a.limits.Get(now, active.server),
		}
		if p := active.pool; p != nil {
			r.server = active.server
			if d.Started {
				p.ledger.Start(now, active.server, active.placedID, d.Request.Rank)
			} else {
				p.ledger.End(now, active.server, active.placedID, placement.Outcome{NotRun: true})
			}
			r.wait, r.took = p.ledger.Estimate(now, d.Request.Rank)
		}
		if !d.Started {
			delete(a.requests, id)
			r.retry, r.overLimit = max(0, d.RetryAt.Sub(now)), d.OverRate
			if d.OverRate {
				s.overLimit++
			}
		}
		out = append(out, addressedReply{id.requester, r})
	}
	return out
}

// OverLimit returns how many requests were refused because of the request limits of servers, by server.
func (a *Allocator) OverLimit() map[registry.Instance]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[registry.Instance]int)
	for inst, s := range a.servers {
		if s.overLimit > 0 {
			counts[inst] = s.overLimit
		}
	}
	return counts
}

// Counts returns the number of servers with a scheduler, and the numbers of their running and
// waiting requests.
func (a *Allocator) Counts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := map[string]int{"servers": len(a.servers), "running": 0, "waiting": 0}
	for _, s := range a.servers {
		c["running"] += s.scheduler.Running()
		c["waiting"] += s.scheduler.Queued()
	}
	return c
}

// releaseAll frees all slots of a process whose stream has ended, and withdraws its waiting
// requests.
func (a *Allocator) releaseAll(now time.Time, from *requester) {
	a.mu.Lock()
	var replies []addressedReply
	for id, r := range a.requests {
		if id.requester != from {
			continue
		}
		delete(a.requests, id)
		if r.pool != nil {
			r.pool.ledger.End(now, r.server, r.placedID, placement.Outcome{NotRun: true})
		}
		if s := a.servers[r.server]; s != nil {
			replies = append(replies, a.toReplies(now, s, s.scheduler.Finish(now, r.request, 0))...)
		}
	}
	a.mu.Unlock()
	sendAll(replies)
}
