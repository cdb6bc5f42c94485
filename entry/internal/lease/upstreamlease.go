package lease

import (
	"slices"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// upstreamLease is the lease of one upstream as its leaseholder keeps it.
type upstreamLease struct {
	fence    fence.Fence
	revision uint32
	shards   map[shard.Shard]*shardState
	// releasing lists the shards that the controller asks to release.
	releasing []shard.Shard
	state     control.ServerState
	// loads is included in each report until a renewal that was sent at or after loadsAt is accepted.
	loads    []control.ShardLoad
	loadsAt  time.Time
	handover []control.Release
	received []control.Release
	// grantRevision is the revision of the latest grant for the server, or zero if the next grant needs a new one;
	// acceptedRevision is the greatest revision that the server has accepted.
	grantRevision    uint32
	acceptedRevision uint32
	grantedShards    []shard.Shard
	grantedUntil     time.Time
}

// shardState is the state of one shard under a lease.
type shardState struct {
	releasing bool
	// idle is set once no request for the shard is running or can still start.
	idle    bool
	release control.Release
	// revokingRevision is the revision of the first grant without the shard; grantsEnd is when all earlier grants have
	// expired.
	revokingRevision uint32
	grantsEnd        time.Time
}

// isReleased reports whether the shard can no longer be used under this lease: no request uses it, and the
// backend server has accepted a grant without it or all grants with it have expired.
func (s *shardState) isReleased(now time.Time, accepted uint32) bool {
	return s.releasing && s.idle && (accepted >= s.revokingRevision || !now.Before(s.grantsEnd))
}

func newUpstreamLease(f fence.Fence) *upstreamLease {
	return &upstreamLease{fence: f, shards: map[shard.Shard]*shardState{}}
}

// apply replaces the lease by a newer version of it.
func (u *upstreamLease) apply(l control.Lease) {
	u.revision = l.Revision
	u.handover = l.Handovers
	u.received = slices.DeleteFunc(slices.Clone(u.received), func(r control.Release) bool {
		return !slices.ContainsFunc(l.Handovers, func(o control.Release) bool { return o.Shard == r.Shard && o.ReleasedFence == r.ReleasedFence })
	})
	if !l.Same {
		former := u.shards
		u.shards = make(map[shard.Shard]*shardState, len(l.Shards))
		for _, s := range l.Shards {
			u.shards[s] = former[s]
			if u.shards[s] == nil {
				u.shards[s] = &shardState{}
			}
		}
	}
	former := u.releasing
	u.releasing = nil
	for _, s := range former {
		if state := u.shards[s]; state != nil {
			state.releasing = false
		}
	}
	for _, s := range l.Releasing {
		if state := u.shards[s]; state != nil {
			state.releasing = true
			u.releasing = append(u.releasing, s)
		}
	}
	for _, s := range former {
		if state := u.shards[s]; state != nil && !state.releasing {
			*state = shardState{}
		}
	}
}

// grantableShards returns the shards that a fenced server must accept, in ascending order.
func (u *upstreamLease) grantableShards() []shard.Shard {
	var shards []shard.Shard
	for s, state := range u.shards {
		if !state.idle {
			shards = append(shards, s)
		}
	}
	slices.Sort(shards)
	return shards
}

func (u *upstreamLease) report(now time.Time, name string) control.UpstreamReport {
	r := control.UpstreamReport{Upstream: name, Fence: u.fence, Revision: u.revision, State: u.state, Load: u.loads, Received: u.received}
	for _, s := range u.releasing {
		if state := u.shards[s]; state.isReleased(now, u.acceptedRevision) {
			r.Released = append(r.Released, state.release)
		}
	}
	slices.SortFunc(r.Released, func(a, b control.Release) int { return int(a.Shard) - int(b.Shard) })
	return r
}
