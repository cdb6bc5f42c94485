package slots

import (
	"time"

	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/placement"
)

// PoolState is what this process knows of a pool.
type PoolState struct {
	Centre string
	Index  int
	// Allocator is the process that places the requests of the pool.
	Allocator string
	Servers   int
	// Wait and Took are what the latest reply said of another request, and HeardAt when it came; zero if there
	// was none.
	Wait, Took time.Duration
	HeardAt    time.Time
	// Selected is true for the pool that a request would be placed in now.
	Selected bool
	// Candidates are the servers as the allocator sees them; empty if that is another process.
	Candidates []placement.Candidate
}

// Explain returns the pools of a service and which of them a request would be placed in now. It changes nothing.
func (lm *Limiter) Explain(r dispatch.PlaceRequest) []PoolState {
	pools := lm.servicePools(r.Service)
	selected, found := lm.selectPool(pools, r, nil)
	lm.mu.Lock()
	defer lm.mu.Unlock()
	var out []PoolState
	for key, servers := range pools.servers {
		e := lm.poolEstimates[key]
		p := PoolState{
			Centre: key.centre, Index: key.index, Allocator: pools.allocators[key].Name, Servers: len(servers),
			Wait: e.wait, Took: e.took, HeardAt: e.at, Selected: found && key == selected,
		}
		if p.Allocator == lm.self.Name {
			p.Candidates = lm.allocator.candidates(time.Now(), key, r.Rank)
		}
		out = append(out, p)
	}
	return out
}

// candidates returns the servers of a pool as they look to a request of a rank, or nil if none was placed there
// lately.
func (a *Allocator) candidates(now time.Time, key poolKey, rank int) []placement.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[key]; p != nil {
		return p.ledger.Candidates(now, rank)
	}
	return nil
}
