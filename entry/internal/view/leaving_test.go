package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

func server(id string, incarnation int64) registry.Server {
	return registry.Server{Instance: registry.Instance{ID: id, Incarnation: incarnation}, Service: "s"}
}

// Guards against a server that comes back into use after it has stated that it leaves: when its entry is
// written as ready again, missing for a while or back after the time for which its keys may still be used.
func TestLeavingIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := server("a", 1), server("b", 1)
	v := view.New()
	v.SetServers(now, []registry.Server{a, b})
	must.True(t, v.SetLeaving(now, a.Instance))
	must.False(t, v.SetLeaving(now.Add(time.Second), a.Instance))
	check := func(after time.Duration, usable bool, what string) {
		t.Helper()
		at := now.Add(after)
		_, found := v.Servers().Find(at, a.Instance)
		must.Eq(t, usable, found, must.Sprint(what))
		must.False(t, v.Servers().AcceptsRequests(a.Instance), must.Sprint(what))
		must.Eq(t, []registry.Server{b}, v.Servers().Service("s"), must.Sprint(what))
	}
	check(time.Second, true, "while its keys move")
	check(1300*time.Millisecond, false, "after its keys have moved")
	a.Sequence = 2
	v.SetServers(now.Add(500*time.Millisecond), []registry.Server{a, b})
	check(1300*time.Millisecond, false, "ready again")
	v.SetServers(now.Add(600*time.Millisecond), []registry.Server{b})
	check(1300*time.Millisecond, false, "missing")
	v.SetServers(now.Add(700*time.Millisecond), []registry.Server{a, b})
	check(1300*time.Millisecond, false, "back early")
	v.SetServers(now.Add(3*time.Second), []registry.Server{b})
	v.SetServers(now.Add(6*time.Second), []registry.Server{b})
	v.SetServers(now.Add(9*time.Second), []registry.Server{a, b})
	check(9*time.Second, false, "back late")
	must.Len(t, 2, v.Servers().Registered())
	next := server("a", 2)
	v.SetServers(now.Add(10*time.Second), []registry.Server{next, b})
	must.True(t, v.Servers().AcceptsRequests(next.Instance))
}

// Guards against a statement that is heard before the server's entry, or kept for servers without end.
func TestLeavingOfUnknownServers(t *testing.T) {
	now := time.Unix(1000, 0)
	a := server("a", 1)
	v := view.New()
	must.True(t, v.SetLeaving(now, a.Instance))
	v.SetServers(now.Add(5*time.Second), []registry.Server{a})
	must.False(t, v.Servers().AcceptsRequests(a.Instance))
	_, found := v.Servers().Find(now.Add(5*time.Second), a.Instance)
	must.False(t, found)
	for i := range 1500 {
		v.SetLeaving(now.Add(time.Duration(i)), server(fmt.Sprint(i), 1).Instance)
	}
	must.False(t, v.SetLeaving(now, a.Instance), must.Sprint("a registered server is forgotten last"))
}
