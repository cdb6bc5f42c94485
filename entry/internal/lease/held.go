package lease

import (
	"slices"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// held is the lease of one upstream.
type held struct {
	fence    fence.Fence
	revision uint32
	shards   map[shard.Shard]*shardState
	// releasing lists the shards whose release is asked for.
	releasing []shard.Shard
	state     control.ServerState
	// loads is reported until a request that was sent after loadsAt is answered.
	loads    []control.ShardLoad
	loadsAt  time.Time
	handover []control.Release
	received []control.Release
	// grant is the revision of the latest grant sent to a fenced server, accepted the latest that it accepted.
	grant        uint32
	accepted     uint32
	grantShards  []shard.Shard
	grantedUntil time.Time
}

// shardState is what becomes of one shard under a lease.
type shardState struct {
	releasing bool
	// idle is set when no request uses the shard any more.
	idle    bool
	release control.Release
	// barredBy is the first grant without the shard; until is when all earlier grants have ended.
	barredBy uint32
	until    time.Time
}

// released reports whether nobody can use the shard under this lease.
func (s *shardState) released(now time.Time, accepted uint32) bool {
	return s.releasing && s.idle && (accepted >= s.barredBy || !now.Before(s.until))
}

func newHeld(f fence.Fence) *held {
	return &held{fence: f, shards: map[shard.Shard]*shardState{}}
}

// apply takes a newer version of the lease.
func (u *held) apply(l control.Lease) {
	u.revision = l.Revision
	u.handover = l.Handover
	u.received = slices.DeleteFunc(slices.Clone(u.received), func(r control.Release) bool {
		return !slices.ContainsFunc(l.Handover, func(o control.Release) bool { return o.Shard == r.Shard && o.History == r.History })
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

// usable returns the shards that a fenced server must accept, in ascending order.
func (u *held) usable() []shard.Shard {
	var list []shard.Shard
	for s, state := range u.shards {
		if !state.idle {
			list = append(list, s)
		}
	}
	slices.Sort(list)
	return list
}

func (u *held) report(now time.Time, name string) control.Report {
	r := control.Report{Upstream: name, Fence: u.fence, Revision: u.revision, State: u.state, Load: u.loads, Received: u.received}
	for _, s := range u.releasing {
		if state := u.shards[s]; state.released(now, u.accepted) {
			r.Released = append(r.Released, state.release)
		}
	}
	slices.SortFunc(r.Released, func(a, b control.Release) int { return int(a.Shard) - int(b.Shard) })
	return r
}
