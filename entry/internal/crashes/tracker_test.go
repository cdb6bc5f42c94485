package crashes_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/suspect"
)

const (
	crashing = suspect.Fingerprint(1)
	harmless = suspect.Fingerprint(2)
	noLimit  = 1 << 20
)

var now = time.Unix(1000, 0)

func newTracker() *crashes.Tracker {
	return crashes.NewTracker(&log.Logger{Handler: discard.New()})
}

func server(i int) registry.Instance { return registry.Instance{ID: "s", Incarnation: int64(i)} }

// send merges what a tracker has into another one.
func send(from, to *crashes.Tracker) {
	entries, _ := from.Changes(0, noLimit)
	to.Merge(now, entries)
}

// Guards against a request that keeps crashing servers because each process alone sees too few of
// its crashes, and against blocking a harmless request that was running when a server crashed.
func TestBlockAcrossProcesses(t *testing.T) {
	coordinator, a, b := newTracker(), newTracker(), newTracker()
	a.RecordCrash(now, crashing, server(1))
	a.RecordCrash(now, harmless, server(1))
	b.RecordCrash(now, crashing, server(2))
	send(a, coordinator)
	send(b, coordinator)
	must.False(t, coordinator.IsBlocked(now, crashing))
	send(coordinator, b)
	b.RecordResponse(now, harmless)
	send(b, coordinator)
	send(coordinator, a)
	a.RecordCrash(now, harmless, server(3))
	a.RecordCrash(now, harmless, server(4))
	a.RecordCrash(now, crashing, server(1))
	a.RecordCrash(now, crashing, server(3))
	send(a, coordinator)
	send(coordinator, b)
	for _, tracker := range []*crashes.Tracker{coordinator, a, b} {
		must.True(t, tracker.IsBlocked(now, crashing))
		must.False(t, tracker.IsBlocked(now, harmless))
	}
	b.RecordResponse(now, crashing)
	must.True(t, b.IsBlocked(now, crashing), must.Sprint("a late response to a blocked request"))
	must.False(t, b.IsBlocked(now.Add(suspect.Lifetime+time.Second), crashing))
}

// Guards against crashes that a report takes with it when it is lost, or that a new coordinator does not get.
func TestObservedUntilReported(t *testing.T) {
	a := newTracker()
	a.RecordCrash(now, crashing, server(1))
	first, version := a.Observed(0, noLimit)
	again, _ := a.Observed(0, noLimit)
	must.Len(t, 1, first)
	must.Eq(t, first, again)
	a.Merge(now, []crashes.Entry{{Fingerprint: harmless, Servers: []registry.Instance{server(2)}, Expires: now.Add(time.Minute)}})
	entries, version := a.Observed(version, noLimit)
	must.SliceEmpty(t, entries, must.Sprint("learned from another process"))
	a.RecordCrash(now, crashing, server(3))
	entries, _ = a.Observed(version, noLimit)
	must.Len(t, 1, entries)
	must.Len(t, 2, entries[0].Servers)
}

// Guards against messages that grow with all requests, and against changes that a limit leaves out for good.
func TestChangesInSteps(t *testing.T) {
	a, b := newTracker(), newTracker()
	for i := range 10 {
		a.RecordCrash(now, suspect.Fingerprint(i), server(1))
	}
	var version uint64
	for range 4 {
		var entries []crashes.Entry
		entries, version = a.Changes(version, 3)
		must.LessEq(t, 3, len(entries))
		must.Eq(t, uint64(len(entries)), b.Merge(now, entries))
	}
	must.Eq(t, a.Version(), version)
	crashed, _ := b.Counts(now)
	must.Eq(t, 10, crashed)
}

// Guards against a flood of crashed requests that ends all recording, or that drops the most suspicious ones.
func TestFullTracker(t *testing.T) {
	a := newTracker()
	for i := range 2 {
		a.RecordCrash(now, crashing, server(i))
	}
	for i := range 10000 {
		a.RecordCrash(now, suspect.Fingerprint(1000+i), server(1))
	}
	a.RecordCrash(now, crashing, server(3))
	must.True(t, a.IsBlocked(now, crashing))
	crashed, blocked := a.Counts(now)
	must.Eq(t, 4096, crashed)
	must.Eq(t, 1, blocked)
	later := now.Add(suspect.Lifetime + time.Second)
	a.RecordCrash(later, harmless, server(1))
	crashed, _ = a.Counts(later)
	must.Eq(t, 1, crashed)
}

// Guards against processes that disagree on a request because they got the same reports in another order, or
// more than once.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*crashes.Tracker{newTracker(), newTracker(), newTracker()}
		index := rapid.IntRange(0, len(trackers)-1)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			tracker := trackers[index.Draw(t, "tracker")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				tracker.RecordCrash(now, crashing, server(rapid.IntRange(1, 5).Draw(t, "server")))
			case 1:
				tracker.RecordResponse(now, crashing)
			default:
				send(tracker, trackers[index.Draw(t, "to")])
			}
		}
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					send(from, to)
				}
			}
		}
		for _, tracker := range trackers[1:] {
			if tracker.IsBlocked(now, crashing) != trackers[0].IsBlocked(now, crashing) {
				t.Fatal("blocked at some processes only")
			}
		}
	})
}

// Guards against crashes that change on their way through the store.
func TestCodec(t *testing.T) {
	entries := []crashes.Entry{{Fingerprint: 1<<63 + 1, Round: 2, Servers: []registry.Instance{server(1), server(2)}, Expires: time.UnixMilli(1700000000001)}}
	data, err := crashes.Encode(entries)
	must.NoError(t, err)
	decoded, err := crashes.Decode(data)
	must.NoError(t, err)
	must.Eq(t, entries, decoded)
	for _, odd := range []string{``, `[]`, `{"requests":7}`, `{"requests":[{"print":"z"}]}`, `{"requests":[{"print":5}]}`} {
		_, err := crashes.Decode([]byte(odd))
		must.Error(t, err, must.Sprint(odd))
	}
}
