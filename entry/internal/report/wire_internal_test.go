package report

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
)

// Guards against limits whose age is changed by the clocks of two VMs.
func TestReportedLimitsKeepAge(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	inst := registry.Instance{ID: "a", Incarnation: 7}
	limit := requestlimit.Limit{PerSecond: 2.5, InForce: true, HeardAt: sent.Add(-time.Second)}
	got := decodeReport(received, encodeReport(sent, Report{Limits: map[registry.Instance]requestlimit.Limit{inst: limit}}))
	limit.HeardAt = received.Add(-time.Second)
	must.Eq(t, map[registry.Instance]requestlimit.Limit{inst: limit}, got.Limits)
}

// Guards against a hold whose end moves with the clocks of two VMs, and against a statement of leaving that is lost.
func TestReportedStatements(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	inst := registry.Instance{ID: "a", Incarnation: 7}
	got := decodeReport(received, encodeReport(sent, Report{Holds: map[registry.Instance]time.Time{inst: sent.Add(1500 * time.Millisecond)}, Leaving: []registry.Instance{inst}}))
	must.Eq(t, map[registry.Instance]time.Time{inst: received.Add(1500 * time.Millisecond)}, got.Holds)
	must.Eq(t, []registry.Instance{inst}, got.Leaving)
}
