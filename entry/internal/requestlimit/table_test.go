package requestlimit_test

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
)

var server = registry.Instance{ID: "a", Incarnation: 1}

func newTable() (*requestlimit.Table, *memory.Handler) {
	h := memory.New()
	return requestlimit.NewTable(&log.Logger{Handler: h, Level: log.InfoLevel}), h
}

// Guards against a limit that ends or rises because of a response older than the one that named it.
func TestResponsesOutOfOrder(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type response struct {
		sent, arrived int
		reading       requestlimit.Reading
	}
	named := func(perSecond float64) requestlimit.Reading {
		return requestlimit.Reading{Named: true, PerSecond: perSecond}
	}
	silent := requestlimit.Reading{Silent: true}
	for _, c := range []struct {
		name      string
		responses []response
		inForce   bool
		perSecond float64
	}{
		{"named", []response{{0, 100, named(3)}}, true, 3},
		{"ended", []response{{0, 100, named(3)}, {200, 300, silent}}, false, 0},
		{"sent before it was named", []response{{0, 100, named(3)}, {50, 300, silent}}, true, 3},
		{"says nothing", []response{{0, 100, named(3)}, {200, 300, requestlimit.Reading{}}}, true, 3},
		{"raised", []response{{0, 100, named(3)}, {200, 300, named(5)}}, true, 5},
		{"lowered", []response{{0, 100, named(5)}, {200, 300, named(3)}}, true, 3},
		{"maybe an earlier, higher one", []response{{0, 100, named(3)}, {50, 300, named(5)}}, true, 3},
		{"limit of zero", []response{{0, 100, named(0)}}, true, 0},
		{"named again", []response{{0, 100, named(3)}, {200, 300, silent}, {400, 500, named(2)}}, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, _ := newTable()
			for _, r := range c.responses {
				table.Observe(at(r.arrived), server, at(r.sent), r.reading)
			}
			l := table.Get(at(1000), server)
			must.Eq(t, c.inForce, l.InForce)
			must.Eq(t, c.perSecond, l.PerSecond)
		})
	}
}

// Guards against a statement from another process that replaces a newer one, or that is no limit.
func TestMergeKeepsNewest(t *testing.T) {
	table, _ := newTable()
	now := time.Now()
	table.Observe(now, server, now.Add(-time.Second), requestlimit.Reading{Named: true, PerSecond: 3})
	table.Merge(now, server, requestlimit.Limit{HeardAt: now.Add(-time.Second)})
	table.Merge(now.Add(time.Second), server, requestlimit.Limit{HeardAt: now.Add(time.Second), InForce: true, PerSecond: -1})
	must.Eq(t, 3, table.Get(now, server).PerSecond)
	must.True(t, table.Get(now, server).InForce)
	table.Merge(now.Add(2*time.Second), server, requestlimit.Limit{HeardAt: now.Add(time.Second)})
	must.False(t, table.Get(now, server).InForce)
	must.MapEmpty(t, table.InForce(now))
}

// Guards against a limit of an ended instance that binds the next one.
func TestOtherInstanceHasNoLimit(t *testing.T) {
	table, _ := newTable()
	now := time.Now()
	table.Observe(now, server, now, requestlimit.Reading{Named: true, PerSecond: 3})
	must.False(t, table.Get(now, registry.Instance{ID: server.ID, Incarnation: 2}).InForce)
	must.False(t, table.Get(now.Add(time.Hour), server).InForce)
}

// Guards against a log line for each response of a server that names a limit or something unusable.
func TestLogVolume(t *testing.T) {
	table, h := newTable()
	now := time.Now()
	for i := range 100 {
		table.Observe(now.Add(time.Duration(i)*time.Millisecond), server, now, requestlimit.Reading{Named: true, PerSecond: 3 - float64(i)/1000})
		table.ObserveInvalid(now, server, errors.New("not a number"))
	}
	must.Len(t, 2, h.Entries)
	must.Eq(t, 100, table.Invalid())
}

// Guards against a statement that claims to be from the future and so stays in force for good.
func TestMergeFromFuture(t *testing.T) {
	table, _ := newTable()
	now := time.Now()
	table.Merge(now, server, requestlimit.Limit{InForce: true, HeardAt: now.Add(time.Hour)})
	table.Observe(now.Add(2*time.Second), server, now.Add(time.Second), requestlimit.Reading{Silent: true})
	must.False(t, table.Get(now.Add(2*time.Second), server).InForce)
}
