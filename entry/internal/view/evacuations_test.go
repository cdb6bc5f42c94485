package view_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

const evacuationGrace = 2 * time.Second

func inCentre(id, centre string) registry.Server {
	return registry.Server{Instance: registry.Instance{ID: id, Incarnation: 1}, Service: "s", DataCentre: centre, Slots: 4}
}

func idsOf(servers []registry.Server) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}

// Guards against servers of an evacuated data centre that get requests, that lose their keys before these have
// moved, or that stay out of use or count as warm when the evacuation has ended.
func TestEvacuation(t *testing.T) {
	v := view.New()
	now := time.Unix(1000, 0)
	list := []registry.Server{inCentre("a", "x"), inCentre("b", "y"), inCentre("c", "y")}
	v.SetServers(now, list)
	begun, _ := v.SetEvacuations(now, []string{"nowhere", "y"}, evacuationGrace)
	must.Eq(t, []string{"nowhere", "y"}, begun)
	must.Eq(t, []string{"a"}, idsOf(v.Servers().Service("s")))
	_, ok := v.Servers().Find(now.Add(evacuationGrace), list[1].Instance)
	must.True(t, ok)
	// A later list of servers does not extend the time.
	v.SetServers(now.Add(time.Second), list)
	_, ok = v.Servers().Find(now.Add(evacuationGrace+time.Millisecond), list[1].Instance)
	must.False(t, ok)

	// All data centres at once.
	v.SetEvacuations(now.Add(3*time.Second), []string{"x", "y"}, evacuationGrace)
	must.Len(t, 0, v.Servers().Service("s"))
	must.Len(t, 3, v.Servers().Registered())

	now = now.Add(4 * time.Second)
	_, ended := v.SetEvacuations(now, []string{"x"}, evacuationGrace)
	must.Eq(t, []string{"y"}, ended)
	must.Eq(t, []string{"b", "c"}, idsOf(v.Servers().Service("s")))
	must.True(t, v.Servers().Service("s")[0].WarmAt.After(now.Add(time.Second)))
	v.SetServers(now.Add(10*time.Second), list)
	must.False(t, v.Servers().Service("s")[0].WarmAt.After(now))
}

// Guards against a server that leaves by itself and gets requests for longer because its data centre is
// evacuated.
func TestLeavingServerInEvacuation(t *testing.T) {
	v := view.New()
	now := time.Unix(1000, 0)
	s := inCentre("a", "x")
	s.Draining = true
	v.SetServers(now, []registry.Server{s})
	v.SetEvacuations(now, []string{"x"}, time.Minute)
	_, ok := v.Servers().Find(now.Add(3*time.Second), s.Instance)
	must.False(t, ok)
	// It does not come back with its data centre.
	v.SetEvacuations(now, nil, time.Minute)
	must.False(t, v.Servers().AcceptsRequests(s.Instance))
}
