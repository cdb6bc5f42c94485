package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

// Guards against a wrong answer that takes a server out of use for good, and against a table that grows with the
// servers that have ended.
func TestEndedServerForATime(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view.New()
	a := server("a", 1)
	v.SetServers(now, []registry.Server{a})
	must.True(t, v.SetEnded(now, a.Instance))
	must.False(t, v.SetEnded(now, a.Instance))
	must.False(t, v.Servers().AcceptsRequests(a.Instance))
	v.SetServers(now.Add(9*time.Second), []registry.Server{a})
	must.False(t, v.Servers().AcceptsRequests(a.Instance))
	at, ended := v.EndedAt(now.Add(9*time.Second), a.Instance)
	must.True(t, ended)
	must.Eq(t, now, at)
	later := now.Add(11 * time.Second)
	v.SetServers(later, []registry.Server{a})
	must.True(t, v.Servers().AcceptsRequests(a.Instance))
	_, ended = v.EndedAt(later, a.Instance)
	must.False(t, ended)
	marked := 0
	for i := range 5000 {
		if v.SetEnded(later, server(fmt.Sprint(i), 1).Instance) {
			marked++
		}
	}
	must.Eq(t, 1024, marked)
	must.True(t, v.SetEnded(later.Add(11*time.Second), a.Instance))
}
