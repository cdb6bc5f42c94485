package upstream

import (
	"context"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/exchange"
)

// Abort ends all requests at a server that has failed: their outcome is unknown and
// those that wait are answered as moved. Without it the shards of a frozen server
// could only be released when the last deadline has passed.
func (u *Upstream) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bounceAll()
	u.abort()
	u.serving, u.abort = context.WithCancel(context.Background())
}

// abortWith cancels a request when the server fails.
func (u *Upstream) abortWith(ctx context.Context, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	serving := u.serving
	u.mu.Unlock()
	stop := context.AfterFunc(serving, func() { cancel(errFailed) })
	context.AfterFunc(ctx, func() { stop() })
}

// bar keeps the shard of a request that an unfenced server may still be running until
// the request's deadline. A fenced server aborts it when its grant has ended.
func (u *Upstream) bar(r *exchange.Request) {
	if u.spec.Fenced {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.barred[r.Shard].Before(r.Deadline) {
		u.barred[r.Shard] = r.Deadline
	}
}

// isBarred reports whether an unfenced server may still be running a request for the shard. The mutex is held.
func (u *Upstream) isBarred(now time.Time, s shard.Shard) bool {
	until, ok := u.barred[s]
	if ok && !now.Before(until) {
		delete(u.barred, s)
		return false
	}
	return ok
}
