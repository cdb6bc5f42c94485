package cluster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// Guards against hundreds of processes that start in an outage of the store and each make a peer encode and send
// all its objects again.
func TestSnapshotIsShared(t *testing.T) {
	n, now := newTestNode("n", newRestorableStore(), nil, 0), time.Unix(1000, 0)
	n.replica.Sink(platform.KindServers).Reset(now, largeServerList())
	raw := 0
	for _, o := range n.replica.AllObjects() {
		raw += len(o.Data)
	}
	sent := n.Snapshot(now, struct{}{})
	must.Len(t, 1, sent)
	must.Less(t, raw/4, len(sent[0].Data))
	n.replica.Sink(platform.KindServers).Apply(now, []platform.Event{{Object: serverEntry(1, 9)}})
	must.Eq(t, sent, n.Snapshot(now.Add(snapshotLifetime/2), struct{}{}))
	objects, err := UnpackSnapshot(n.Snapshot(now.Add(snapshotLifetime), struct{}{}))
	must.NoError(t, err)
	must.SliceLen(t, largeServerCount, objects)
	must.SliceContainsFunc(t, objects, uint64(9), func(o report.Object, revision uint64) bool { return o.Revision == revision })
	_, err = UnpackSnapshot([]report.Object{{Kind: kindBundle, Data: []byte("no bundle")}})
	must.Error(t, err)
}
