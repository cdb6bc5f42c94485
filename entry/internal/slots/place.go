package slots

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/view"
)

const (
	// maxPoolAttempts is the number of pools that are asked for one request before it is refused.
	maxPoolAttempts = 3
	// poolEstimateLifetime is the time in which the wait that the latest reply about a pool stated is taken to
	// end. A process that avoids a pool gets no replies from it, and would do so for longer than the wait lasts.
	poolEstimateLifetime = 300 * time.Millisecond
	// remotePenalty and remoteLargePenalty are the expected times by which the pool of another data centre must
	// be better; the second one is for large bodies, whose transfer between data centres has a price.
	remotePenalty      = 40 * time.Millisecond
	remoteLargePenalty = 250 * time.Millisecond
	// localPercent is the percentage of the time until the objective within which a request stays in its
	// data centre, because it ends in time there too.
	localPercent = 70
	// estimateSpread is the random part that is added to estimates, so that not all processes prefer
	// the same pool.
	estimateSpread = 0.2
	// maxPoolEstimates bounds the pools whose latest reply is stored.
	maxPoolEstimates = 1024
)

// servicePools are the pools of a service as they were derived from some servers and allocators.
type servicePools struct {
	known   *view.Servers
	servers map[poolKey][]registry.Server
	// allocators has the allocator of each pool, and substitutes the pools whose regular one has failed.
	allocators  map[poolKey]election.Member
	substitutes map[poolKey]bool
}

// poolEstimate is what the latest reply about a pool said.
type poolEstimate struct {
	wait time.Duration
	took time.Duration
	at   time.Time
}

// Place implements dispatch.Placer. The pools of the process's own data centre go first unless a request would
// end sooner elsewhere and late at home.
func (lm *Limiter) Place(ctx context.Context, r dispatch.PlaceRequest) (dispatch.Slot, registry.Instance, error) {
	pools := lm.servicePools(r.Service)
	tried := make(map[poolKey]bool)
	var refusal *dispatch.RefusalError
	for range maxPoolAttempts {
		key, ok := lm.selectPool(pools, r, tried)
		if !ok {
			break
		}
		tried[key] = true
		slot, inst, err := lm.placeIn(ctx, pools, key, r)
		if err == nil {
			return slot, inst, nil
		}
		if ctx.Err() != nil {
			return nil, registry.Instance{}, err
		}
		if e, refused := errors.AsType[*dispatch.RefusalError](err); refused && (refusal == nil || e.RetryAt.Before(refusal.RetryAt)) {
			refusal = e
		}
	}
	if refusal != nil {
		return nil, registry.Instance{}, refusal
	}
	return nil, registry.Instance{}, dispatch.ErrNoPool
}

// servicePools returns the pools of a service with their allocators.
func (lm *Limiter) servicePools(service string) *servicePools {
	members := lm.members.Members()
	known := lm.view.Servers()
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.updateAllocators(time.Now(), members)
	p := lm.pools[service]
	if p != nil && p.known == known {
		return p
	}
	if len(lm.pools) > maxPoolEstimates {
		clear(lm.pools)
	}
	p = &servicePools{known: known, servers: serversByPool(known, service), allocators: make(map[poolKey]election.Member), substitutes: make(map[poolKey]bool)}
	usable, regular := selectAllocators(lm.knownMembers, lm.placementExcluded), lm.regular
	for key := range p.servers {
		name := fmt.Sprintf("%s\x00%d", key.service, key.index)
		p.allocators[key] = selectByName(usable, key.centre, name)
		p.substitutes[key] = p.allocators[key].Name != selectByName(regular, key.centre, name).Name
	}
	lm.pools[service] = p
	return p
}

// selectPool returns the pool in which a request is expected to end first, of those that have not been tried.
func (lm *Limiter) selectPool(pools *servicePools, r dispatch.PlaceRequest, tried map[poolKey]bool) (poolKey, bool) {
	now := time.Now()
	enough := r.Objective.Sub(now) * localPercent / 100
	lm.mu.Lock()
	defer lm.mu.Unlock()
	// known is the time of a request in a pool that has not been asked yet: that in another one.
	var known time.Duration
	for key := range pools.servers {
		known = max(known, lm.poolEstimates[key].took)
	}
	var best poolKey
	lowest, found := time.Duration(0), false
	for key, servers := range pools.servers {
		if tried[key] || pools.allocators[key].Name == "" || len(servers) == 0 || allExcluded(servers, r.Excluded) {
			continue
		}
		e := lm.poolEstimates[key]
		if e.took == 0 {
			e.took = known
		}
		left := max(0, poolEstimateLifetime-now.Sub(e.at))
		e.wait = time.Duration(float64(e.wait) * float64(left) / float64(poolEstimateLifetime))
		end := time.Duration(float64(e.wait+e.took) * (1 + estimateSpread*rand.Float64()))
		switch {
		case key.centre == lm.self.DataCentre && end < enough:
			end = 0
		case key.centre == lm.self.DataCentre:
		case r.Large:
			end += remoteLargePenalty
		default:
			end += remotePenalty
		}
		if !found || end < lowest {
			best, lowest, found = key, end, true
		}
	}
	return best, found
}

// allExcluded reports whether a request must not be sent to any of the servers.
func allExcluded(servers []registry.Server, excluded []string) bool {
	if len(excluded) < len(servers) {
		return false
	}
	set := toSet(excluded)
	for _, s := range servers {
		if !set[s.ID] {
			return false
		}
	}
	return true
}

// placeIn places a request in a pool.
func (lm *Limiter) placeIn(ctx context.Context, pools *servicePools, key poolKey, r dispatch.PlaceRequest) (dispatch.Slot, registry.Instance, error) {
	m := message{
		rank: r.Rank, arrived: r.Arrived, objective: r.Objective, deadline: r.Deadline, share: 1,
		placed: &placed{pool: key, excluded: r.Excluded, warm: r.Warm},
	}
	if pools.substitutes[key] || !lm.members.MembersConfirmed() {
		m.share = substituteShare
	}
	to := pools.allocators[key]
	ask := func() (reply, message, func(message), error) {
		if to.Name == lm.self.Name {
			return lm.askLocal(ctx, lm.allocator, m)
		}
		return lm.askRemote(ctx, linkID{to.Name, placementMethod}, to, m)
	}
	answer, m, release, err := ask()
	if err != nil {
		return nil, registry.Instance{}, err
	}
	now := time.Now()
	lm.recordPool(now, key, answer)
	if answer.server == (registry.Instance{}) {
		return nil, registry.Instance{}, dispatch.ErrNoPool
	}
	m.instance = answer.server
	lm.limits.Merge(now, m.instance, answer.limit)
	if !answer.started {
		return nil, registry.Instance{}, &dispatch.RefusalError{RetryAt: now.Add(answer.retry), OverLimit: answer.overLimit, Limit: answer.limit}
	}
	return &slot{message: m, granted: now, limits: lm.limits, release: release}, m.instance, nil
}

// recordPool records what a reply says of a pool.
func (lm *Limiter) recordPool(now time.Time, key poolKey, r reply) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if len(lm.poolEstimates) >= maxPoolEstimates {
		clear(lm.poolEstimates)
	}
	lm.poolEstimates[key] = poolEstimate{wait: r.wait, took: r.took, at: now}
}
