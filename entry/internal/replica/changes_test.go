package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/report"
	"bramleystand.org/platform"
)

// Guards against a follower whose copy differs from the coordinator's after it has applied all
// changes of the coordinator in order and has in between listed the objects from the store itself.
func TestFollowerMatchesCoordinator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, coordinator := newReplica()
		v, follower := newReplica()
		sink := coordinator.Sink(platform.KindServers)
		revision := uint64(1)
		objects := map[string]platform.Object{}
		position := coordinator.ChangePosition()
		list := func() []platform.Object {
			var out []platform.Object
			for _, o := range objects {
				out = append(out, o)
			}
			return out
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			revision++
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if _, ok := objects[name]; ok {
					delete(objects, name)
					sink.Apply(startTime, []platform.Event{{Object: platform.Object{Name: name, Revision: revision}, Deleted: true}})
				}
			case 1:
				sink.Reset(startTime, list())
			case 2:
				follower.Sink(platform.KindServers).Reset(startTime, list())
			case 3:
				changes, next := coordinator.Since(position)
				position = next
				follower.ApplyChanges(startTime, changes)
			default:
				objects[name] = serverEntry(name, revision, "ready")
				sink.Apply(startTime, []platform.Event{{Object: objects[name]}})
			}
		}
		changes, _ := coordinator.Since(position)
		follower.ApplyChanges(startTime, changes)
		must.Eq(t, coordinator.CopyVersion(platform.KindServers), follower.CopyVersion(platform.KindServers))
		must.Eq(t, len(objects), len(serverIDs(v)))
	})
}

// Guards against a process that joins and does not get all objects it lacks, and against a failure
// of one that lags behind by more changes than are kept.
func TestJoiningProcess(t *testing.T) {
	_, coordinator := newReplica()
	sink := coordinator.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{serverEntry("a", 1, "ready"), serverEntry("b", 7, "ready")})
	must.Len(t, 2, coordinator.ObjectsAfter(report.CopyVersion{Kind: platform.KindServers}))
	must.Len(t, 1, coordinator.ObjectsAfter(report.CopyVersion{Kind: platform.KindServers, Revision: 1, Count: 1}))
	must.Len(t, 0, coordinator.ObjectsAfter(report.CopyVersion{Kind: platform.KindServers, Revision: 7, Count: 2}))
	for i := range 3000 {
		sink.Apply(startTime, []platform.Event{{Object: serverEntry("a", uint64(10+i), "ready")}})
	}
	changes, next := coordinator.Since(0)
	must.Eq(t, 1024, len(changes))
	must.Eq(t, 3002, next)
	changes, _ = coordinator.Since(next)
	must.Len(t, 0, changes)
}

// Guards against servers that are removed because their entries expired during an outage of the
// store that only the coordinator has noticed.
func TestOutageNoticedByCoordinator(t *testing.T) {
	v, r := newReplica()
	r.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("a", 1, "ready")})
	r.NoteOutage(startTime.Add(time.Second))
	r.ApplyChanges(startTime.Add(1500*time.Millisecond), []report.Object{{Kind: platform.KindServers, Name: "a", Revision: 1, Deleted: true}})
	must.Eq(t, []string{"a"}, serverIDs(v))
	r.RemoveMissingServers(startTime.Add(4 * time.Second))
	must.Len(t, 0, serverIDs(v))
}
