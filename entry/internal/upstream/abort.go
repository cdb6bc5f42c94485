package upstream

import (
	"context"
	"time"

	"bramleystand.org/common/shard"
)

// Serve says whether the server answers at all. When it no longer does, all requests
// at it end with an unknown outcome, and those that wait or arrive are answered as
// moved. Without this the shards of a frozen server could only be released when the
// deadline of the last request has passed.
func (u *Upstream) Serve(answering bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed == !answering {
		return
	}
	u.failed = !answering
	if !u.failed {
		return
	}
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
func (u *Upstream) bar(r *run) {
	if u.spec.Fenced {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	bars := u.barred
	if r.broken {
		bars = u.broken
	}
	if s := r.request.Shard; bars[s].Before(r.request.Deadline) {
		bars[s] = r.request.Deadline
	}
}

// Gone says that the server refuses connections. Requests whose connections it broke
// are then not running: its process has ended. A server that only stopped listening
// keeps the connections of what it still runs.
func (u *Upstream) Gone() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.broken)
}

// isBarred reports whether an unfenced server may still be running a request for the shard. The mutex is held.
func (u *Upstream) isBarred(now time.Time, s shard.Shard) bool {
	return now.Before(u.barred[s]) || now.Before(u.broken[s])
}

// forget drops the bars of a shard that is released. The mutex is held.
func (u *Upstream) forget(s shard.Shard) {
	delete(u.barred, s)
	delete(u.broken, s)
}
