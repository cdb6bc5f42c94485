package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
)

// busyGrants sends orders one after the other, as a VM does that is short of processor time.
type busyGrants struct {
	mu     sync.Mutex
	freeAt time.Time
	failed int
}

// orderWork is the processor time of an order. A thousand of them take longer than one may take.
const orderWork = 450 * time.Microsecond

func (g *busyGrants) Grant(ctx context.Context, _ platform.Recipient, _ keyspace.Range, _ uint64, _ time.Duration, _ string, _ uint64) (uint64, error) {
	g.mu.Lock()
	now := time.Now()
	if g.freeAt.Before(now) {
		g.freeAt = now
	}
	g.freeAt = g.freeAt.Add(orderWork)
	done := g.freeAt
	g.mu.Unlock()
	select {
	case <-time.After(done.Sub(now)):
		return 1, nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		g.failed++
		return 0, ctx.Err()
	}
}

func (g *busyGrants) Release(context.Context, platform.Recipient, keyspace.Range, uint64) (string, error) {
	return "", nil
}

// Guards against first grants that all time out because they are sent at once: their keys then have no owner
// until they have lapsed.
func TestFirstGrantsOfManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grants := &busyGrants{}
		n := newTestNode("a", newRestorableStore(), grants, 999)
		defer run(t, n)()
		time.Sleep(4 * time.Second)
		grants.mu.Lock()
		defer grants.mu.Unlock()
		must.Eq(t, 0, grants.failed)
		must.Eq(t, 0, n.Workload(time.Now())["moving"].(int))
	})
}
