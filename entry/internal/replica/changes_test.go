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

// Guards against a process whose copy differs from the coordinator's after it has used all of
// its changes, in the order of the coordinator, although it has also read the store itself.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, coordinator := newReplica()
		v, follower := newReplica()
		sink := coordinator.Sink(platform.KindServers)
		revision := uint64(1)
		objects := map[string]platform.Object{}
		position := coordinator.Position()
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
					sink.Apply(start, []platform.Event{{Object: platform.Object{Name: name, Revision: revision}, Deleted: true}})
				}
			case 1:
				sink.Reset(start, list())
			case 2:
				follower.Sink(platform.KindServers).Reset(start, list())
			case 3:
				changes, next := coordinator.Since(position)
				position = next
				follower.Take(start, changes)
			default:
				objects[name] = entry(name, revision, "ready")
				sink.Apply(start, []platform.Event{{Object: objects[name]}})
			}
		}
		changes, _ := coordinator.Since(position)
		follower.Take(start, changes)
		must.Eq(t, coordinator.Mark(platform.KindServers), follower.Mark(platform.KindServers))
		must.Eq(t, len(objects), len(names(v)))
	})
}

// Guards against a process that joins and gets too little, and one that lags behind further than
// the changes are kept and fails.
func TestJoin(t *testing.T) {
	_, coordinator := newReplica()
	sink := coordinator.Sink(platform.KindServers)
	sink.Reset(start, []platform.Object{entry("a", 1, "ready"), entry("b", 7, "ready")})
	must.Len(t, 2, coordinator.Newer(report.Mark{Kind: platform.KindServers}))
	must.Len(t, 1, coordinator.Newer(report.Mark{Kind: platform.KindServers, Revision: 1, Count: 1}))
	must.Len(t, 0, coordinator.Newer(report.Mark{Kind: platform.KindServers, Revision: 7, Count: 2}))
	for i := range 3000 {
		sink.Apply(start, []platform.Event{{Object: entry("a", uint64(10+i), "ready")}})
	}
	changes, next := coordinator.Since(0)
	must.Eq(t, 1024, len(changes))
	must.Eq(t, 3002, next)
	changes, _ = coordinator.Since(next)
	must.Len(t, 0, changes)
}

// Guards against servers that are given up because their entries lapsed in an outage of the
// store that only the coordinator has seen.
func TestLossOfCoordinator(t *testing.T) {
	v, r := newReplica()
	r.Sink(platform.KindServers).Reset(start, []platform.Object{entry("a", 1, "ready")})
	r.NoteLoss(start.Add(time.Second))
	r.Take(start.Add(1500*time.Millisecond), []report.Object{{Kind: platform.KindServers, Name: "a", Revision: 1, Deleted: true}})
	must.Eq(t, []string{"a"}, names(v))
	r.Tick(start.Add(4 * time.Second))
	must.Len(t, 0, names(v))
}
