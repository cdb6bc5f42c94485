package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// unansweredStore accepts the lock that gives up the role, but the response is lost, as are those to all
// later calls.
type unansweredStore struct{ *rejectingStore }

func (s unansweredStore) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	stored, err := s.rejectingStore.Put(ctx, kind, o)
	if err != nil || kind != lockKind {
		return stored, err
	}
	if l, err := election.Decode(time.Now(), o.Data); err != nil || l.Holder.Name != "" {
		return stored, err
	}
	s.reject()
	return platform.Object{}, errUnreachable
}

// Guards against keys with two owners, because a coordinator that does not know that it has given up the
// role renews grants for longer than its successor waits.
func TestResignationUnanswered(t *testing.T) {
	for name, handsOver := range map[string]bool{"stopping": false, "handing over": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared, grants := newRestorableStore(), newRecordedGrants()
				former := newTestNode("former", unansweredStore{&rejectingStore{restorableStore: shared}}, grants, 1)
				defer run(t, former)()
				time.Sleep(5 * time.Second)
				must.Positive(t, former.CoordinatorTerm())
				successor := newTestNode("n", shared, lossyGrants{recordedGrants: grants, lost: backendAddress(0)}, 2)
				defer run(t, successor)()
				time.Sleep(time.Second)
				if handsOver {
					former.Report(time.Now(), report.Report{From: election.Member{Name: "large"}, Cores: 100})
				} else {
					must.False(t, former.Resign(t.Context()))
				}
				resigned := time.Now()
				time.Sleep(5 * time.Second)
				must.Positive(t, successor.CoordinatorTerm())
				time.Sleep(25 * time.Second)
				must.SliceEmpty(t, grants.hasOverlaps())
				sent := grants.after(resigned.Add(coordinator.MaxOfflineRenewal + 2*coordinator.HoldDuration))
				must.SliceNotEmpty(t, sent, must.Sprint("the keys go to another server in the end"))
			})
		})
	}
}

// Guards against keys that lose their owner because a coordinator that can't give up the role, as the store is down,
// no longer renews its grants.
func TestRenewalsAfterFailedResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, grants := newRestorableStore(), newRecordedGrants()
		n := newTestNode("n", store, grants, 1)
		defer run(t, n)()
		time.Sleep(5 * time.Second)
		store.setDown(true)
		resigned := time.Now()
		must.False(t, n.Resign(t.Context()))
		time.Sleep(coordinator.MaxOfflineRenewal - coordinator.HoldDuration)
		last := resigned
		for _, g := range grants.after(resigned) {
			must.Less(t, coordinator.HoldDuration/2, g.at.Sub(last), must.Sprint("time without a grant"))
			last = g.at
		}
		must.Less(t, coordinator.HoldDuration/2, time.Since(last))
	})
}
