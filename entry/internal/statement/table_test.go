package statement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/statement"
	"bramleystand.org/entry/internal/view"
)

func newTable() (*statement.Table, *view.View, *memory.Handler) {
	v, logs := view.New(), memory.New()
	return statement.NewTable(v, &log.Logger{Handler: logs, Level: log.InfoLevel}), v, logs
}

// Guards against a hold that a later response shortens, or that binds another instance.
func TestHold(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _, logs := newTable()
	a, next := registry.Instance{ID: "a", Incarnation: 1}, registry.Instance{ID: "a", Incarnation: 2}
	table.HoldOff(now, a, now.Add(4*time.Second))
	table.HoldOff(now, a, now.Add(time.Second))
	table.HoldOff(now, a, now.Add(-time.Hour))
	for after, want := range map[time.Duration]bool{0: true, 3999 * time.Millisecond: true, 4 * time.Second: false, time.Hour: false} {
		until, held := table.HeldUntil(now.Add(after), a)
		must.Eq(t, want, held, must.Sprint(after))
		if held {
			must.Eq(t, now.Add(4*time.Second), until)
		}
	}
	_, held := table.HeldUntil(now, next)
	must.False(t, held)
	must.MapLen(t, 1, table.Holds(now))
	must.MapEmpty(t, table.Holds(now.Add(5*time.Second)))
	must.Len(t, 1, logs.Entries)
}

// Guards against log lines and memory that grow with the number of statements.
func TestBoundedStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _, logs := newTable()
	a := registry.Instance{ID: "a", Incarnation: 1}
	for i := range 1000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		table.HoldOff(at, a, at.Add(100*time.Millisecond))
		table.ObserveLeaving(at, a)
		table.MergeLeaving(at, a, "other")
		table.ObserveInvalid(at, a, errors.New("not a number"))
	}
	must.Len(t, 3, logs.Entries)
	must.Eq(t, map[string]int{"servers": 1, "held": 0, "holds": 1000, "invalid": 1000}, table.Counts(now.Add(time.Hour)))
	for i := range 1500 {
		table.HoldOff(now, registry.Instance{ID: fmt.Sprint(i)}, now.Add(time.Hour+time.Duration(i)))
	}
	must.MapLen(t, 1024, table.Holds(now))
}

// Guards against a statement that is reported only once, or without end, or that is reported by a process that has
// not heard it itself.
func TestReportedLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	table, v, _ := newTable()
	a, b := registry.Instance{ID: "a", Incarnation: 1}, registry.Instance{ID: "b", Incarnation: 1}
	v.SetServers(now, []registry.Server{{Instance: a, Service: "s"}, {Instance: b, Service: "s"}})
	table.ObserveLeaving(now, a)
	table.MergeLeaving(now, b, "other")
	must.Eq(t, []registry.Instance{a}, table.Leaving(now))
	must.Eq(t, []registry.Instance{a}, table.Leaving(now.Add(4*time.Second)))
	must.SliceEmpty(t, table.Leaving(now.Add(6*time.Second)))
	must.False(t, v.Servers().AcceptsRequests(a))
	must.False(t, v.Servers().AcceptsRequests(b))
}
