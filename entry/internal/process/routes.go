package process

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

// routes implements router.Routes and caller.ServiceConfig with the directory.
type routes struct {
	directory *directory.Directory

	mu      sync.Mutex
	changed chan struct{}
}

func newRoutes(d *directory.Directory) *routes {
	return &routes{directory: d, changed: make(chan struct{})}
}

// run wakes the requests that wait for a route after each change of the directory, until
// the context ends.
func (r *routes) run(ctx context.Context) {
	changes, cancel := r.directory.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		r.mu.Lock()
		close(r.changed)
		r.changed = make(chan struct{})
		r.mu.Unlock()
	}
}

// Find implements router.Routes. It takes the channel before the lookup, so that the caller
// misses no change.
func (r *routes) Find(service string, s shard.Shard) (control.Placement, bool, <-chan struct{}) {
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	placement, _, ok := r.directory.Route(service, s)
	return placement, ok, changed
}

// Shards implements caller.ServiceConfig.
func (r *routes) Shards(service string) (uint32, bool) {
	s, ok := r.directory.Service(service)
	return s.Shards, ok
}

// Timeout implements caller.ServiceConfig.
func (r *routes) Timeout(k rank.Rank) time.Duration {
	return r.directory.Preset().Ranks[k].Timeout
}
