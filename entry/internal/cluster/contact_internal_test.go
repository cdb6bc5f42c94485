package cluster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
)

// Guards against a process that counts as cut off by its own failures alone, and against one that moves
// keys while it may be cut off.
func TestCutOff(t *testing.T) {
	var registered []registry.Server
	for i := range 4 {
		registered = append(registered, registry.Server{Instance: backend(i).Instance, Address: backendAddress(i)})
	}
	all, none := []bool{true, true, true, true}, make([]bool, 4)
	one := []bool{true, false, false, false}
	for name, c := range map[string]struct {
		own, byOthers   []bool
		cutOff, mayMove bool
	}{
		"others reach all":        {none, all, true, false},
		"others reach one":        {none, one, true, false},
		"nobody reaches a server": {none, none, false, true},
		"it reaches one":          {one, all, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			contacts := newContact()
			must.SliceEmpty(t, contacts.startSurvey(now, registered))
			must.True(t, contacts.mayMove())
			contacts.recordFailure(registered[0].Instance, registered[0].Address)
			must.False(t, contacts.mayMove())
			for range 8 {
				servers := contacts.startSurvey(now, registered)
				must.SliceEmpty(t, contacts.startSurvey(now, registered))
				began := now
				now = now.Add(250 * time.Millisecond)
				if len(servers) > 0 {
					must.SliceLen(t, 4, servers)
					contacts.finishSurvey(now, survey{began: began, servers: servers, own: c.own, byOthers: c.byOthers})
				}
			}
			must.Eq(t, c.cutOff, contacts.isCutOff(now))
			must.Eq(t, c.mayMove, contacts.mayMove())
			contacts.recordAnswer(registered[0].Instance)
			must.False(t, contacts.isCutOff(now))
			must.True(t, contacts.mayMove())
		})
	}
}

// Guards against a survey of servers that have left, which never ends.
func TestSurveyOfLostServer(t *testing.T) {
	now := time.Unix(1000, 0)
	contacts := newContact()
	contacts.recordFailure(backend(0).Instance, backendAddress(0))
	must.SliceEmpty(t, contacts.startSurvey(now, nil))
	must.True(t, contacts.mayMove())
}
