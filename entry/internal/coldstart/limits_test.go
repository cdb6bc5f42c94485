package coldstart_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

// statements holds the limit that all servers name.
type statements requestlimit.Limit

func (s statements) Get(time.Time, registry.Instance) requestlimit.Limit {
	return requestlimit.Limit(s)
}

// Guards against a cold server that gets as many requests as a warm one, against a limit for services that state
// none, and against a lower limit of the server itself that is lost.
func TestLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view.New()
	c, err := traffic.New(1, nil, map[string]traffic.Service{"s": {Name: "s", ColdRate: 5}, "t": {Name: "t"}},
		traffic.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.NoError(t, err)
	v.SetConfiguration(c)
	server := func(id, service string, warmAt time.Time) registry.Server {
		return registry.Server{Instance: registry.Instance{ID: id}, Service: service, WarmAt: warmAt}
	}
	v.SetServers(now, []registry.Server{server("cold", "s", now.Add(time.Second)), server("warm", "s", now), server("other", "t", now.Add(time.Second))})
	for _, c := range []struct {
		id      string
		named   statements
		rate    float64
		inForce bool
	}{
		{"cold", statements{}, 5, true},
		{"cold", statements{PerSecond: 2, InForce: true, HeardAt: now}, 2, true},
		{"cold", statements{PerSecond: 9, InForce: true, HeardAt: now}, 5, true},
		{"warm", statements{}, 0, false},
		{"warm", statements{PerSecond: 9, InForce: true, HeardAt: now}, 9, true},
		{"other", statements{}, 0, false},
		{"unknown", statements{}, 0, false},
	} {
		limits := coldstart.New(c.named, v)
		l := limits.Get(now, registry.Instance{ID: c.id})
		must.Eq(t, c.rate, l.PerSecond, must.Sprint(c))
		must.Eq(t, c.inForce, l.InForce, must.Sprint(c))
		must.Eq(t, 1, limits.Count(now))
	}
}
