package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// restoredAt is when a test's store is back after a restore; servers change at startTime.
var restoredAt = startTime.Add(20 * time.Second)

// entryOf returns the entry of the server a in the store.
func entryOf(era, number uint64, state string, sequence, born int) platform.Object {
	return platform.Object{Name: "a", Revision: uint64(revision.New(era, number)), Data: fmt.Appendf(nil,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","maxConcurrency":4,"state":%q,"warmupLeftMs":0,"seq":%d,"born":%d}`, state, sequence, born)}
}

// Guards against requests to a server whose leaving was acknowledged after a restored store lists its
// older entry, and against a running server that stays out of use.
func TestServerEntryOfRestoredStore(t *testing.T) {
	ready, draining := entryOf(1, 10, "ready", 5, 1), entryOf(1, 11, "draining", 9, 1)
	removed := platform.Event{Object: platform.Object{Name: "a", Revision: 11}, Deleted: true}
	replaced := entryOf(1, 11, "ready", 1, 2)
	tests := []struct {
		name string
		// change follows the ready entry in the first era.
		change platform.Event
		// outage is true if the store was away just before the change.
		outage   bool
		restored platform.Object
		want     []string
	}{
		{name: "draining, then older ready", change: platform.Event{Object: draining}, restored: entryOf(2, 6, "ready", 5, 1)},
		{name: "draining, then newer ready", change: platform.Event{Object: draining}, restored: entryOf(2, 6, "ready", 12, 1)},
		{name: "draining, then other incarnation", change: platform.Event{Object: draining}, restored: entryOf(2, 6, "ready", 1, 2), want: []string{"a"}},
		{name: "removed, then older", change: removed, restored: entryOf(2, 6, "ready", 4, 1)},
		{name: "removed, then the same", change: removed, restored: entryOf(2, 6, "ready", 5, 1)},
		{name: "removed, then newer", change: removed, restored: entryOf(2, 6, "ready", 6, 1), want: []string{"a"}},
		{name: "removed, then other incarnation", change: removed, restored: entryOf(2, 6, "ready", 1, 2), want: []string{"a"}},
		{name: "missing in an outage, then older", change: removed, outage: true, restored: entryOf(2, 6, "ready", 4, 1), want: []string{"a"}},
		{name: "missing in an outage, then the same", change: removed, outage: true, restored: entryOf(2, 6, "ready", 5, 1), want: []string{"a"}},
		{name: "replaced, then the earlier incarnation", change: platform.Event{Object: replaced}, restored: entryOf(2, 6, "ready", 5, 1), want: []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, r := newReplica()
			sink := r.Sink(platform.KindServers)
			sink.Reset(startTime, []platform.Object{ready})
			if tt.outage {
				sink.RecordOutage(startTime)
			}
			sink.Apply(startTime, []platform.Event{tt.change})
			r.RemoveMissingServers(startTime.Add(10 * time.Second))
			before := v.Servers().Service("svc")
			sink.Reset(restoredAt, []platform.Object{tt.restored})
			must.Eq(t, tt.want, serverIDs(v))
			if len(before) > 0 && tt.change.Revision == replaced.Revision {
				must.Eq(t, before[0].Instance, v.Servers().Service("svc")[0].Instance)
			}
		})
	}
}

// Guards against a change of the coordinator's stream that puts a server that has left in use again.
func TestOlderServerEntryFromCoordinator(t *testing.T) {
	v, r := newReplica()
	r.Sink(platform.KindServers).Reset(startTime, []platform.Object{entryOf(1, 11, "draining", 9, 1)})
	older := entryOf(2, 6, "ready", 5, 1)
	r.ApplyChanges(restoredAt, []report.Object{{Kind: platform.KindServers, Name: "a", Revision: older.Revision, Data: older.Data}})
	must.SliceEmpty(t, serverIDs(v))
	must.Eq(t, older.Revision, r.CopyVersion(platform.KindServers).Revision)
}

// Guards against a running server that stays out of use because its writes change only the sequence,
// which the store may not report.
func TestRemovedServerWhoseEntryStays(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{entryOf(1, 10, "ready", 5, 1)})
	sink.Reset(startTime, nil)
	sink.Reset(restoredAt, []platform.Object{entryOf(2, 6, "ready", 5, 1)})
	r.RemoveMissingServers(restoredAt.Add(4 * time.Second))
	must.SliceEmpty(t, serverIDs(v))
	r.RemoveMissingServers(restoredAt.Add(5 * time.Second))
	must.Eq(t, []string{"a"}, serverIDs(v))
}

// Guards against an outdated entry that counts as one that has stayed although it was removed, or
// although the store could not be read.
func TestRemovedServerWhoseEntryExpires(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	outdated := []platform.Object{entryOf(2, 6, "ready", 5, 1)}
	sink.Reset(startTime, []platform.Object{entryOf(1, 10, "ready", 5, 1)})
	sink.Reset(startTime, nil)
	sink.Reset(restoredAt, outdated)
	sink.RecordOutage(restoredAt.Add(3 * time.Second))
	r.RemoveMissingServers(restoredAt.Add(6 * time.Second))
	must.SliceEmpty(t, serverIDs(v))
	sink.Reset(restoredAt.Add(7*time.Second), nil)
	r.RemoveMissingServers(restoredAt.Add(20 * time.Second))
	must.SliceEmpty(t, serverIDs(v))
}

// Guards against a server that was draining and is in use again because it was unregistered for a while.
func TestDrainingServerMissingInOutage(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{entryOf(1, 11, "draining", 9, 1)})
	sink.RecordOutage(startTime)
	sink.Reset(startTime, nil)
	r.RemoveMissingServers(startTime.Add(10 * time.Second))
	sink.Reset(restoredAt, []platform.Object{entryOf(2, 6, "ready", 5, 1)})
	r.RemoveMissingServers(restoredAt.Add(2 * time.Minute))
	sink.Reset(restoredAt.Add(2*time.Minute), []platform.Object{entryOf(2, 6, "ready", 5, 1)})
	must.SliceEmpty(t, serverIDs(v))
}

// Guards against a memory that grows with each server that leaves.
func TestDeparturesAreForgotten(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{entryOf(1, 10, "ready", 5, 1)})
	sink.Reset(startTime, nil)
	r.RemoveMissingServers(startTime.Add(time.Minute))
	sink.Reset(startTime.Add(time.Minute), []platform.Object{entryOf(1, 10, "ready", 5, 1)})
	must.Eq(t, []string{"a"}, serverIDs(v))
}

// Guards against a memory that grows with the number of servers that leave at about the same time.
func TestNumberOfDeparturesIsLimited(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	var others []platform.Object
	for i := range 4096 {
		others = append(others, serverEntry(fmt.Sprint("other", i), 10, "ready"))
	}
	first := serverEntry("first", 10, "ready")
	sink.Reset(startTime, []platform.Object{first})
	sink.Reset(startTime, others)
	now := startTime.Add(time.Second)
	sink.Reset(now, nil)
	sink.Reset(now, append(others, first))
	must.Eq(t, []string{"first"}, serverIDs(v))
}
