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

// local runs the requests of which this process is the leaseholder.
type local struct {
	directory *directory.Directory
	running   atomic.Int64

	mu      sync.RWMutex
	runners map[runnerKey]*runner
}

type runnerKey struct {
	service  string
	upstream string
}

func newLocal(d *directory.Directory) *local {
	return &local{directory: d, runners: make(map[runnerKey]*runner)}
}

// Handle implements router.Local and peer.Handler.
func (l *local) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	l.running.Add(1)
	defer l.running.Add(-1)
	if holder := l.find(r); holder != nil {
		return holder.upstream.Handle(ctx, r)
	}
	response := exchange.Refuse(http.StatusServiceUnavailable, "this entry VM does not hold the lease of the key")
	response.Moved = true
	return response
}

// follow wakes the runners of the upstreams under lease after each renewal, until the context ends.
func (l *local) follow(ctx context.Context, service string, p *pair.Pair) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Applied():
		}
		var names []string
		p.Holder(func(h *lease.Holder) { names = h.Upstreams() })
		for _, name := range names {
			if r := l.get(runnerKey{service, name}); r != nil {
				r.wakeUp()
			}
		}
	}
}

// find returns the runner whose lease has the shard. The routing table is only a
// hint: the leases of this process are newer than its copy of the table.
func (l *local) find(r *exchange.Request) *runner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := time.Now()
	if p, _, ok := l.directory.Route(r.Service, r.Shard); ok {
		if c := l.runners[runnerKey{r.Service, p.Upstream}]; c != nil {
			if _, ok := c.pair.Allowed(now, p.Upstream, r.Shard); ok {
				return c
			}
		}
	}
	for k, c := range l.runners {
		if k.service != r.Service {
			continue
		}
		if _, ok := c.pair.Allowed(now, k.upstream, r.Shard); ok {
			return c
		}
	}
	return nil
}

func (l *local) get(k runnerKey) *runner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.runners[k]
}

func (l *local) put(k runnerKey, r *runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runners[k] = r
}

func (l *local) remove(k runnerKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runners, k)
}

// all returns all runners.
func (l *local) all() map[runnerKey]*runner {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make(map[runnerKey]*runner, len(l.runners))
	for k, r := range l.runners {
		out[k] = r
	}
	return out
}
