package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
)

// scatteredGrants accepts orders after different times.
type scatteredGrants struct{}

func (scatteredGrants) Grant(_ context.Context, to platform.Recipient, _ keyspace.Range, _ uint64, _ time.Duration, _ string, _ uint64) (uint64, error) {
	time.Sleep(time.Duration(1+to.Address.Addr().As4()[3]) * time.Millisecond)
	return 1, nil
}

func (scatteredGrants) Release(context.Context, platform.Recipient, keyspace.Range, uint64) (string, error) {
	return "", nil
}

// Guards against a coordinator that looks at all its ranges after each result of an order.
func TestStepsDoNotGrowWithOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode("a", newRestorableStore(), scatteredGrants{}, 200)
		defer run(t, n)()
		work := func() (steps, grants int) {
			w := n.Workload(time.Now())
			return w["steps"].(int), w["grants"].(int)
		}
		time.Sleep(10 * time.Second)
		steps, grants := work()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		laterSteps, laterGrants := work()
		must.Greater(t, 200*seconds, laterGrants-grants, must.Sprint("orders"))
		// Twenty steps a second are due without any order.
		must.LessEq(t, seconds*int(time.Second/minStepInterval+time.Second/tickInterval), laterSteps-steps)
	})
}
