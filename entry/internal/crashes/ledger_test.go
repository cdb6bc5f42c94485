package crashes_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/suspect"
)

// Guards against a request that goes on crashing servers through other processes, and against one
// that is refused because it was near a crash.
func TestCondemned(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, a, b := crashes.NewLedger(), crashes.NewLedger(), crashes.NewLedger()
	poison, innocent := suspect.Fingerprint(1), suspect.Fingerprint(2)
	server := func(i int64) registry.Life { return registry.Life{ID: "s", Incarnation: i} }
	a.RecordCrash(poison, server(1))
	a.RecordCrash(innocent, server(1))
	b.RecordCrash(poison, server(2))
	coordinator.Note(now, append(a.Take(), b.Take()...))
	must.SliceEmpty(t, coordinator.Verdicts(now))
	a.RecordResponse(innocent)
	a.RecordCrash(innocent, server(3))
	a.RecordCrash(poison, server(3))
	a.RecordCrash(poison, server(3))
	coordinator.Note(now, a.Take())
	must.Eq(t, []suspect.Fingerprint{poison}, coordinator.Verdicts(now))
	b.Condemn(now, coordinator.Verdicts(now))
	must.True(t, b.IsBlocked(now, poison))
	must.False(t, b.IsBlocked(now, innocent))
	must.False(t, b.IsBlocked(now.Add(suspect.Lifetime+time.Second), poison))
}
