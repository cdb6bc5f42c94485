package process

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleystand.org/entry/internal/directory"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/lease"
	"bramleystand.org/entry/internal/pair"
)

// localHandler runs the requests for shards whose lease this process holds.
type localHandler struct {
	directory *directory.Directory
	inFlight  atomic.Int64

	mu      sync.RWMutex
	runners map[upstreamKey]*upstreamRunner
}

// upstreamKey identifies an upstream; names of upstreams are unique only within a service.
type upstreamKey struct {
	service  string
	upstream string
}

func newLocalHandler(d *directory.Directory) *localHandler {
	return &localHandler{directory: d, runners: make(map[upstreamKey]*upstreamRunner)}
}

// Handle implements router.LocalHandler and peer.RequestHandler.
func (l *localHandler) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if runner := l.findRunner(r); runner != nil {
		return runner.upstream.Handle(ctx, r)
	}
	response := exchange.NotRunResponse(http.StatusServiceUnavailable, "this entry VM does not hold the lease for the key's shard")
	response.Reroute = true
	return response
}

// wakeOnRenewal wakes the runners of the leased upstreams after each change of the pair's
// leases, until the context ends.
func (l *localHandler) wakeOnRenewal(ctx context.Context, service string, p *pair.Pair) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.LeasesChanged():
		}
		var names []string
		p.Holder(func(h *lease.Holder) { names = h.Upstreams() })
		for _, name := range names {
			if r := l.runner(upstreamKey{service, name}); r != nil {
				r.wake()
			}
		}
	}
}

// findRunner returns the runner whose lease covers the shard of a request, or nil. It tries
// the upstream of the routing table first but doesn't rely on it, because the leases of
// this process can be newer than its copy of the table.
func (l *localHandler) findRunner(r *exchange.Request) *upstreamRunner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := time.Now()
	if placement, _, ok := l.directory.Route(r.Service, r.Shard); ok {
		if candidate := l.runners[upstreamKey{r.Service, placement.Upstream}]; candidate != nil {
			if _, ok := candidate.pair.FenceFor(now, placement.Upstream, r.Shard); ok {
				return candidate
			}
		}
	}
	for k, candidate := range l.runners {
		if k.service != r.Service {
			continue
		}
		if _, ok := candidate.pair.FenceFor(now, k.upstream, r.Shard); ok {
			return candidate
		}
	}
	return nil
}

func (l *localHandler) runner(k upstreamKey) *upstreamRunner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.runners[k]
}

func (l *localHandler) addRunner(k upstreamKey, r *upstreamRunner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runners[k] = r
}

func (l *localHandler) removeRunner(k upstreamKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runners, k)
}

// allRunners returns a copy of the map of runners.
func (l *localHandler) allRunners() map[upstreamKey]*upstreamRunner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make(map[upstreamKey]*upstreamRunner, len(l.runners))
	for k, r := range l.runners {
		out[k] = r
	}
	return out
}
