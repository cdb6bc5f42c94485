package gateway

import (
	"maps"
	"slices"
	"sync"

	"bramleystand.org/entry/internal/dispatch"
)

// activeCalls holds the calls in progress. It is safe for concurrent use.
type activeCalls struct {
	mu  sync.Mutex
	all map[*dispatch.Call]struct{}
}

func newActiveCalls() *activeCalls {
	return &activeCalls{all: make(map[*dispatch.Call]struct{})}
}

func (a *activeCalls) add(c *dispatch.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[c] = struct{}{}
}

func (a *activeCalls) remove(c *dispatch.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, c)
}

// list returns the calls in progress, oldest first.
func (a *activeCalls) list() []*dispatch.Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.SortedFunc(maps.Keys(a.all), func(c, d *dispatch.Call) int { return c.Arrived.Compare(d.Arrived) })
}
