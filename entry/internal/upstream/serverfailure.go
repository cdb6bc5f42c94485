package upstream

import (
	"context"
	"time"

	"bramleystand.org/common/shard"
)

// SetResponding sets whether the server responds at all. When it stops responding, all requests
// that are at the server end with an unknown outcome, and those that wait or arrive get
// a response with Reroute set. Otherwise the shards of a frozen server could be released only after
// the deadline of its last request.
func (u *Upstream) SetResponding(responding bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed == !responding {
		return
	}
	u.failed = !responding
	if !u.failed {
		return
	}
	u.cancelAllWaiting()
	u.cancelServerCtx()
	u.serverCtx, u.cancelServerCtx = context.WithCancel(context.Background())
}

// cancelOnServerFailure calls cancel with errServerFailed when the server fails before ctx ends.
func (u *Upstream) cancelOnServerFailure(ctx context.Context, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	serverCtx := u.serverCtx
	u.mu.Unlock()
	stop := context.AfterFunc(serverCtx, func() { cancel(errServerFailed) })
	context.AfterFunc(ctx, func() { stop() })
}

// blockRelease blocks the release of the shard of a request that an unfenced server may
// still be running, until the deadline of the request. A fenced server aborts the request
// when its grant ends.
func (u *Upstream) blockRelease(r *activeRequest) {
	if u.spec.Fenced {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.blockedUntil
	if r.connectionBroken {
		until = u.connectionBroken
	}
	if s := r.request.Shard; until[s].Before(r.request.Deadline) {
		until[s] = r.request.Deadline
	}
}

// ServerProcessEnded must be called when the server refuses connections. Its process has then ended, so
// the requests whose connections it broke are no longer running and do not block releases.
// A server that has only stopped listening keeps the connections of the requests that it
// is still running.
func (u *Upstream) ServerProcessEnded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.connectionBroken)
}

// releaseBlocked reports whether an unfenced server may still be running a request for the shard. The mutex is held.
func (u *Upstream) releaseBlocked(now time.Time, s shard.Shard) bool {
	return now.Before(u.blockedUntil[s]) || now.Before(u.connectionBroken[s])
}

// unblockRelease removes the blocks of a shard that is released. The mutex is held.
func (u *Upstream) unblockRelease(s shard.Shard) {
	delete(u.blockedUntil, s)
	delete(u.connectionBroken, s)
}
