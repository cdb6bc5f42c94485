package crashes_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/suspect"
)

// Guards against a request that keeps crashing servers because each process alone sees too few of
// its crashes, and against blocking a harmless request that was running when a server crashed.
func TestBlockAcrossProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, a, b := crashes.NewTracker(), crashes.NewTracker(), crashes.NewTracker()
	crashing, harmless := suspect.Fingerprint(1), suspect.Fingerprint(2)
	server := func(i int64) registry.Instance { return registry.Instance{ID: "s", Incarnation: i} }
	a.RecordCrash(crashing, server(1))
	a.RecordCrash(harmless, server(1))
	b.RecordCrash(crashing, server(2))
	coordinator.AddReported(now, append(a.TakeUnreported(), b.TakeUnreported()...))
	must.SliceEmpty(t, coordinator.Blocked(now))
	a.RecordResponse(harmless)
	a.RecordCrash(harmless, server(3))
	a.RecordCrash(crashing, server(3))
	a.RecordCrash(crashing, server(3))
	coordinator.AddReported(now, a.TakeUnreported())
	must.Eq(t, []suspect.Fingerprint{crashing}, coordinator.Blocked(now))
	b.Block(now, coordinator.Blocked(now))
	must.True(t, b.IsBlocked(now, crashing))
	must.False(t, b.IsBlocked(now, harmless))
	must.False(t, b.IsBlocked(now.Add(suspect.Lifetime+time.Second), crashing))
}
