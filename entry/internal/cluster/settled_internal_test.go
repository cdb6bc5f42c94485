package cluster

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/revision"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// stoppedPeers is a network in which the former coordinator has stopped.
type stoppedPeers struct{ noPeers }

func (stoppedPeers) StepDown(context.Context, netip.AddrPort, report.StepDown) (report.StepDownResponse, error) {
	return report.StepDownResponse{Incarnation: time.Now().UnixNano(), Stopped: true}, nil
}

// lossyGrants is a network in which one server can't be reached.
type lossyGrants struct {
	*recordedGrants
	lost netip.AddrPort
}

func (g lossyGrants) Grant(ctx context.Context, to platform.Recipient, keys keyspace.Range, f uint64, hold time.Duration, handover string, connection uint64) (uint64, error) {
	if to.Address == g.lost {
		return 0, errUnreachable
	}
	return g.recordedGrants.Grant(ctx, to, keys, f, hold, handover, connection)
}

func (g lossyGrants) Release(ctx context.Context, to platform.Recipient, keys keyspace.Range, f uint64) (string, error) {
	if to.Address == g.lost {
		return "", errUnreachable
	}
	return g.recordedGrants.Release(ctx, to, keys, f)
}

// coordinatorLostAfterRestore returns the store some time after it was restored; its coordinator, which
// had granted all keys to the first server, has just ended.
func coordinatorLostAfterRestore(t *testing.T, grants Grants, since time.Duration) *restorableStore {
	store := newRestorableStore()
	former := newTestNode("former", store, grants, 1)
	stop := run(t, former)
	time.Sleep(10 * time.Second)
	store.restore(time.Now().Add(-time.Second))
	time.Sleep(since)
	must.Greater(t, 1, former.CoordinatorTerm())
	stop()
	return store
}

// Guards against keys of a dead server that stay without an owner because each process that takes over
// for the first time, long after a restore, waits for the grants of coordinators from before it.
func TestSuccessorLongAfterRestoreReassignsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grants := newRecordedGrants()
		store := coordinatorLostAfterRestore(t, grants, 30*time.Second)
		lost := time.Now()
		n := newTestNode("n", store, lossyGrants{recordedGrants: grants, lost: backendAddress(0)}, 2)
		n.peers = stoppedPeers{}
		defer run(t, n)()
		time.Sleep(8 * time.Second)
		must.SliceNotEmpty(t, grants.after(lost), must.Sprint("grants within 8 s of the loss of the coordinator and the server"))
		must.SliceEmpty(t, grants.hasOverlaps())
	})
}

// Guards against a successor that grants keys of a server which may still hold them from before the
// restore, because it takes the wait for over.
func TestSuccessorSoonAfterRestoreWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grants := newRecordedGrants()
		store := coordinatorLostAfterRestore(t, grants, 5*time.Second)
		restored := time.Now().Add(-5 * time.Second)
		lost := time.Now()
		n := newTestNode("n", store, lossyGrants{recordedGrants: grants, lost: backendAddress(0)}, 2)
		n.peers = stoppedPeers{}
		defer run(t, n)()
		time.Sleep(20 * time.Second)
		sent := grants.after(lost)
		must.SliceNotEmpty(t, sent)
		must.GreaterEq(t, 15*time.Second, sent[0].at.Sub(restored))
	})
}

// Guards against a service that counts as one with a lost table because it is added soon after a
// takeover, long after a restore.
func TestServiceAddedLongAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		grants := newRecordedGrants()
		store := coordinatorLostAfterRestore(t, grants, 26*time.Second)
		n := newTestNode("n", store, grants, 1)
		n.peers = stoppedPeers{}
		defer run(t, n)()
		time.Sleep(4 * time.Second)
		must.Positive(t, n.CoordinatorTerm())
		added := time.Now()
		n.view.SetServers(added, []registry.Server{
			{Instance: backend(0).Instance, Service: shardedService, Address: backendAddress(0), Slots: 4},
			{Instance: backend(1).Instance, Service: "added", Address: backendAddress(1), Slots: 4},
		})
		n.view.SetConfiguration(&traffic.Configuration{Version: 2, Services: map[string]traffic.Service{shardedService: {Sharded: true}, "added": {Sharded: true}}})
		time.Sleep(3 * time.Second)
		granted := false
		for _, g := range grants.after(added) {
			granted = granted || g.to == backendAddress(1)
		}
		must.True(t, granted, must.Sprint("keys of the new service are granted within 3 s"))
	})
}

// Guards against a process that follows the coordinator and learns of a restore only when it takes over.
func TestUpdateShowsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode("n", newRestorableStore(), newRecordedGrants(), 1)
		data, err := ownership.Encode(moved(4097, 1, revision.New(2, 9), 0))
		must.NoError(t, err)
		seen := time.Now()
		must.NoError(t, n.applyUpdate(report.Update{Objects: []report.Object{{Kind: replica.KindTables, Name: shardedService, Revision: uint64(revision.New(2, 9)), Data: data}}}))
		time.Sleep(time.Second)
		must.NoError(t, n.applyUpdate(report.Update{CopyVersions: []report.CopyVersion{{Kind: "k", Revision: uint64(revision.New(2, 12))}}}))
		must.Eq(t, storeEra{latest: 2, seen: seen}, n.era)
	})
}
