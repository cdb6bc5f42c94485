package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/admission"
	"bramleystand.org/entry/internal/placement"
	"bramleystand.org/entry/internal/view"
)

// serversPerPool is the number of servers of a service in a data centre from which they are divided into
// several pools, so that one allocator does not look at all of them for each request.
const serversPerPool = 64

// poolKey identifies the servers of a service in a data centre whose slots one process allocates.
type poolKey struct {
	service string
	centre  string
	index   int
}

// poolCount returns the number of pools for some servers. It is a power of two, so that few servers change
// pools when their number changes.
func poolCount(servers int) int {
	n := 1
	for n*serversPerPool < servers {
		n *= 2
	}
	return n
}

// serversByPool returns the servers of a service that take requests, by pool.
func serversByPool(servers *view.Servers, service string) map[poolKey][]registry.Server {
	list := servers.Service(service)
	byCentre := make(map[string]int)
	for _, s := range list {
		byCentre[s.DataCentre]++
	}
	out := make(map[poolKey][]registry.Server)
	for _, s := range list {
		key := poolKey{service: service, centre: s.DataCentre}
		if n := poolCount(byCentre[s.DataCentre]); n > 1 {
			key.index = int(xxhash.Sum64String(s.ID) % uint64(n))
		}
		out[key] = append(out[key], s)
	}
	return out
}

// pool is the ledger of a pool with the servers that it was last set from.
type pool struct {
	ledger *placement.Pool
	known  *view.Servers
	// lastUsed is when a request was last placed.
	lastUsed time.Time
}

// pool returns the ledger of a pool with the servers that are known now. The lock is held.
func (a *Allocator) pool(now time.Time, key poolKey) *pool {
	p := a.pools[key]
	if p == nil {
		p = &pool{ledger: placement.New()}
		a.pools[key] = p
	}
	p.lastUsed = now
	if known := a.view.Servers(); p.known != known {
		p.known = known
		p.ledger.SetServers(serversByPool(known, key.service)[key])
	}
	return p
}

// place submits a request to the scheduler of the server on which it is expected to end first. The lock is
// held.
func (a *Allocator) place(now time.Time, from *requester, m message) []addressedReply {
	p := a.pool(now, m.placed.pool)
	server, ok := p.ledger.Choose(now, placement.Request{
		Rank: m.rank, Objective: m.objective, Excluded: toSet(m.placed.excluded), Warm: toSet(m.placed.warm),
		Delay: func(inst registry.Instance) time.Duration { return a.limitDelay(now, inst, m.rank) },
	})
	if !ok {
		return []addressedReply{{from, reply{number: m.number}}}
	}
	s := a.servers[server.Instance]
	if s == nil {
		s = &serverState{scheduler: admission.New(server.Slots)}
		a.servers[server.Instance] = s
	}
	s.lastUsed = now
	s.scheduler.SetSlots(p.ledger.Slots(now, server.Instance))
	s.updateShare(now, m.share)
	m.instance = server.Instance
	a.applyLimit(now, s, m)
	a.lastPlaced++
	id := requestID{from, m.number}
	r := &admission.Request{Rank: m.rank, Arrived: m.arrived, Objective: m.objective, Deadline: m.deadline, Tag: id}
	a.requests[id] = activeRequest{request: r, server: server.Instance, pool: p, placedID: a.lastPlaced}
	p.ledger.Queue(server.Instance, a.lastPlaced, m.rank)
	out := a.toReplies(now, s, s.scheduler.Submit(now, r))
	a.wakeIfQueued(s)
	return out
}

// limitDelay returns the time until the request limit of a server allows another request. The lock is held.
func (a *Allocator) limitDelay(now time.Time, inst registry.Instance, rank int) time.Duration {
	l := a.rates.Get(now, inst)
	if !l.IsCurrent(now) {
		return 0
	}
	if s := a.servers[inst]; s != nil {
		return s.scheduler.ExpectedWait(now, rank)
	}
	return l.Interval()
}

func toSet(ids []string) map[string]bool {
	if len(ids) == 0 {
		return nil
	}
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// Placements returns how the servers of the pools that this process allocates look to a request of a rank, by
// service.
func (a *Allocator) Placements(now time.Time, rank int) map[string][]placement.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string][]placement.Candidate)
	for key, p := range a.pools {
		out[key.service] = append(out[key.service], p.ledger.Candidates(now, rank)...)
	}
	return out
}
