// Package gate validates the grants of a backend server and admits the requests
// that they cover.
//
// All times are readings of the server's own monotonic clock, so that a grant
// delayed on the network or by a paused process has already expired when it is
// read.
//
// # Usage
//
//	if err := g.Accept(grant, clock.Now()); err != nil {
//		// The grant is outdated.
//	}
//	if err := g.Check(fence, shard, clock.Now()); err != nil {
//		// The request must not start.
//	}
package gate

import (
	"maps"
	"sync"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// maxGrantAhead is the longest time from now until a grant's expiry. A lease lasts
// 1.2 s, so a longer grant was computed from a wrong clock reading.
const maxGrantAhead = 2 * time.Second

// Gate holds the current grant of a server and checks requests against it.
type Gate struct {
	incarnation int64

	mu       sync.Mutex
	fence    fence.Fence
	revision uint32
	shards   map[shard.Shard]struct{}
	until    time.Duration
}

// New returns a gate without a grant. It accepts only grants for the given incarnation.
func New(incarnation int64) *Gate {
	return &Gate{incarnation: incarnation}
}

// Accept replaces the current grant or extends it, or returns a Refusal.
func (g *Gate) Accept(n Grant, now time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case n.Incarnation != g.incarnation:
		return Incarnation
	case n.Until <= now:
		return Expired
	case n.Until > now+maxGrantAhead:
		return UntilTooFar
	case n.Fence < g.fence, n.Fence == g.fence && n.Revision < g.revision:
		return Outdated
	}
	shards := make(map[shard.Shard]struct{}, len(n.Shards))
	for _, s := range n.Shards {
		shards[s] = struct{}{}
	}
	if g.shards != nil && n.Fence == g.fence && n.Revision == g.revision {
		if !maps.Equal(shards, g.shards) {
			return ShardsChanged
		}
		// Renewals may arrive out of order.
		g.until = max(g.until, n.Until)
		return nil
	}
	g.fence, g.revision, g.shards, g.until = n.Fence, n.Revision, shards, n.Until
	return nil
}

// Check returns a Refusal if a request for the shard with the given fence must not start.
func (g *Gate) Check(f fence.Fence, s shard.Shard, now time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shards != nil && f != g.fence {
		return OtherFence
	}
	return g.checkOwned(s, now)
}

// CheckOwned returns a Refusal if the server no longer owns the shard. It ignores
// the fence, because a running execution may finish under a later fence as long as
// the server keeps the shard.
func (g *Gate) CheckOwned(s shard.Shard, now time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkOwned(s, now)
}

func (g *Gate) checkOwned(s shard.Shard, now time.Duration) error {
	if g.shards == nil {
		return NoGrant
	}
	if now >= g.until {
		return Expired
	}
	if _, ok := g.shards[s]; !ok {
		return ShardNotGranted
	}
	return nil
}

// Current returns the current grant. Its Shards are in no particular order.
func (g *Gate) Current() Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := Grant{Incarnation: g.incarnation, Fence: g.fence, Revision: g.revision, Until: g.until}
	for s := range g.shards {
		n.Shards = append(n.Shards, s)
	}
	return n
}
