package demand_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/requestlimit"
)

// fixedLimits has the limits of servers by ID.
type fixedLimits map[string]requestlimit.Limit

func (f fixedLimits) Get(_ time.Time, inst registry.Instance) requestlimit.Limit { return f[inst.ID] }

// Guards against a server that is given more or less load than its request limit bears.
func TestMaxLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	s := demand.NewService(now, fixedLimits{
		"limited": {PerSecond: 4, InForce: true, HeardAt: now},
		"none":    {PerSecond: 0, InForce: true, HeardAt: now},
		"ended":   {HeardAt: now},
		"old":     {PerSecond: 4, InForce: true, HeardAt: now.Add(-time.Minute)},
	})
	load := func(id string) float64 {
		l, ok := s.MaxLoad(now, registry.Instance{ID: id})
		if !ok {
			return -1
		}
		return l
	}
	must.Eq(t, -1, load("limited"))
	s.AddRequests(now, []keyspace.Key{1}, 0.25)
	s.AddRequests(now, []keyspace.Key{1}, 0)
	must.Eq(t, 1, load("limited"))
	must.Eq(t, 0.0625, load("none"))
	must.Eq(t, -1, load("ended"))
	must.Eq(t, -1, load("old"))
	must.Eq(t, -1, load("unknown"))
	// Two requests in a window of 1.2 s, of 0.125 s on average.
	s.SetHeld(map[registry.Instance]float64{{ID: "ended"}: 0.5, {ID: "limited"}: 1, {ID: "none"}: 0.1})
	must.InDelta(t, 0.0625+0.5*2*0.125/1.2, load("ended"), 1e-9)
	must.InDelta(t, 0.0625, load("limited"), 1e-9)
	must.InDelta(t, 0.0625, load("none"), 1e-9)
	must.Eq(t, -1, load("unknown"))
}
