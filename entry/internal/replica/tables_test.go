package replica_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/platform"
)

func newTable(term, generation uint64, r revision.Revision) *ownership.Table {
	return &ownership.Table{Service: "svc", Term: term, Generation: generation, Revision: uint64(r), Assignments: []ownership.Assignment{{Range: keyspace.Range{Last: keyspace.Last}}}}
}

func tableObject(t *testing.T, table *ownership.Table) platform.Object {
	data, err := ownership.Encode(table)
	must.NoError(t, err)
	return platform.Object{Name: table.Service, Revision: table.Revision, Data: data}
}

// Guards against requests that go to a former owner because a restored store lists an older table
// with a later revision, and against a new process that gets that table from a peer.
func TestRestoredStoreListsOlderTable(t *testing.T) {
	v, r := newReplica()
	latest := newTable(2, 5, revision.New(0, 40))
	r.Sink(replica.KindTables).Reset(startTime, []platform.Object{tableObject(t, newTable(2, 3, revision.New(0, 20)))})
	r.UpdateTable(latest)
	r.Sink(replica.KindTables).Reset(startTime, []platform.Object{tableObject(t, newTable(2, 3, revision.New(1, 21)))})
	must.Eq(t, latest, v.Table("svc"))
	started, fresh := newReplica()
	fresh.LoadSnapshot(startTime, r.AllObjects())
	must.Eq(t, latest, started.Table("svc"))
	// The table of a coordinator in the new era has a revision with a lower number.
	next := newTable(3, 1, revision.New(1, 22))
	r.UpdateTable(next)
	must.Eq(t, next, v.Table("svc"))
}
