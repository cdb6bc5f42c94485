package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
)

// mayLose reports whether a silent server may lose its keys.
func mayLose(c *contact, s registry.Server) bool {
	return c.mayMove() && !c.unsurveyed()[s.Instance]
}

// Guards against a process that counts as cut off by its own failures alone, and against one that takes keys
// from a silent server while it may be cut off.
func TestCutOff(t *testing.T) {
	var registered []registry.Server
	for i := range 4 {
		registered = append(registered, registry.Server{Instance: backend(i).Instance, Address: backendAddress(i)})
	}
	all, none := []bool{true, true, true, true}, make([]bool, 4)
	one := []bool{true, false, false, false}
	for name, c := range map[string]struct {
		own, byOthers   []bool
		unanswered      bool
		cutOff, mayMove bool
	}{
		"others reach all":        {none, all, false, true, false},
		"others reach one":        {none, one, false, true, false},
		"nobody reaches a server": {none, none, false, false, true},
		"no other answers":        {none, none, true, false, false},
		"it reaches one":          {one, all, false, false, true},
		"it alone reaches one":    {one, none, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			contacts := newContact()
			must.SliceEmpty(t, contacts.startSurvey(now, registered))
			must.True(t, mayLose(contacts, registered[0]))
			contacts.recordFailure(now, registered[0].Instance)
			must.False(t, mayLose(contacts, registered[0]))
			for range 8 {
				servers := contacts.startSurvey(now, registered)
				must.SliceEmpty(t, contacts.startSurvey(now, registered))
				began := now
				now = now.Add(250 * time.Millisecond)
				if len(servers) > 0 {
					must.SliceLen(t, 4, servers)
					contacts.finishSurvey(now, survey{began: began, servers: servers, own: c.own, byOthers: c.byOthers, relays: make([]election.Member, 4), unanswered: c.unanswered})
				}
			}
			must.Eq(t, c.cutOff, contacts.isCutOff(now))
			must.Eq(t, c.mayMove, mayLose(contacts, registered[0]))
			contacts.recordAnswer(registered[0].Instance)
			must.False(t, contacts.isCutOff(now))
			must.True(t, mayLose(contacts, registered[0]))
		})
	}
}

// Guards against a survey of servers that have left, which never ends.
func TestSurveyOfLostServer(t *testing.T) {
	now := time.Unix(1000, 0)
	contacts := newContact()
	contacts.recordFailure(now, backend(0).Instance)
	must.SliceEmpty(t, contacts.startSurvey(now, nil))
	must.True(t, contacts.mayMove())
}

// Guards against a server that loses its keys because a survey of another server counts for it too, or
// because the next survey is due only when its second order has failed.
func TestNewSuspectSurveyedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := []registry.Server{{Instance: backend(0).Instance}, {Instance: backend(1).Instance}}
	contacts := newContact()
	contacts.recordFailure(now, backend(0).Instance)
	for i := range 2 {
		servers := contacts.startSurvey(now, registered)
		must.SliceLen(t, 2, servers, must.Sprint("survey ", i))
		now = now.Add(300 * time.Millisecond)
		contacts.finishSurvey(now, survey{began: now, servers: servers, own: []bool{false, true}, byOthers: []bool{true, true}, relays: make([]election.Member, 2)})
		must.True(t, mayLose(contacts, registered[0]))
		must.SliceEmpty(t, contacts.startSurvey(now, registered))
		contacts.recordFailure(now, backend(1).Instance)
		must.Eq(t, i == 1, mayLose(contacts, registered[1]))
	}
}

// Guards against a server to which the second order goes out directly too, because it left the first one
// unanswered while a survey was on its way in which another process reached it.
func TestSuspectDuringSurveyGetsRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := []registry.Server{{Instance: backend(0).Instance}, {Instance: backend(1).Instance}}
	contacts := newContact()
	contacts.recordFailure(now, backend(0).Instance)
	servers := contacts.startSurvey(now, registered)
	must.SliceLen(t, 2, servers)
	now = now.Add(200 * time.Millisecond)
	contacts.recordFailure(now, backend(1).Instance)
	now = now.Add(100 * time.Millisecond)
	other := election.Member{Name: "other"}
	contacts.finishSurvey(now, survey{began: now, servers: servers, own: make([]bool, 2), byOthers: []bool{true, true}, relays: []election.Member{other, other}})
	must.Eq(t, other, contacts.relays[backend(1).Instance])
}

// Guards against a new coordinator that asks nobody which servers can be reached, because no process has
// reported to it yet.
func TestNewCoordinatorKnowsMembers(t *testing.T) {
	n := newTestNode("n", newRestorableStore(), newRecordedGrants(), 1)
	other := election.Member{Name: "other"}
	n.members = []election.Member{n.self, other}
	n.executor = newExecutor(n, election.Lock{Term: 1}, time.Now())
	n.members = []election.Member{n.self}
	must.Eq(t, []election.Member{other}, n.otherMembers())
}

// Guards against a coordinator that moves keys in the first second of its own cut, because a server that was
// lost before it was surveyed while the others answered.
func TestNoMovesBetweenSurveys(t *testing.T) {
	var registered []registry.Server
	for i := range 4 {
		registered = append(registered, registry.Server{Instance: backend(i).Instance, Address: backendAddress(i)})
	}
	now := time.Unix(1000, 0)
	contacts := newContact()
	contacts.recordFailure(now, registered[0].Instance)
	// The others answer every 50 ms for 3 s, and a survey takes 100 ms.
	var ends time.Time
	var running survey
	step := func(own bool) {
		now = now.Add(50 * time.Millisecond)
		if servers := contacts.startSurvey(now, registered); len(servers) > 0 {
			running, ends = survey{began: now, servers: servers, own: make([]bool, 4), byOthers: []bool{true, true, true, true}, relays: make([]election.Member, 4)}, now.Add(100*time.Millisecond)
			for i, s := range servers {
				running.own[i] = own && s.Instance != registered[0].Instance
			}
		}
		if !ends.IsZero() && !now.Before(ends) {
			contacts.finishSurvey(now, running)
			ends = time.Time{}
		}
	}
	for range 60 {
		step(true)
		contacts.recordAnswer(registered[1].Instance)
	}
	must.True(t, mayLose(contacts, registered[1]))
	cut := now
	for range 40 {
		step(false)
		contacts.recordFailure(now, registered[1].Instance)
		// A server whose grant was due at the cut counts as silent after its second failure, 250 ms later.
		if now.Sub(cut) > 250*time.Millisecond {
			must.False(t, mayLose(contacts, registered[1]), must.Sprint(now.Sub(cut)))
		}
	}
	must.True(t, contacts.isCutOff(now))
}

// Guards against a coordinator that grants no keys any more, because all servers were replaced while it counted
// as possibly cut off, and new ones get no orders that could end that.
func TestMovesAfterAllServersReplaced(t *testing.T) {
	for name, c := range map[string]struct{ byOthers, unanswered bool }{"another process reached one": {true, false}, "no other process answered": {false, true}} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			contacts := newContact()
			contacts.recordFailure(now, backend(0).Instance)
			servers := contacts.startSurvey(now, []registry.Server{{Instance: backend(0).Instance}})
			contacts.finishSurvey(now, survey{began: now, servers: servers, own: []bool{false}, byOthers: []bool{c.byOthers}, relays: make([]election.Member, 1), unanswered: c.unanswered})
			must.False(t, contacts.mayMove())
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				must.SliceEmpty(t, contacts.startSurvey(now, []registry.Server{{Instance: backend(1).Instance}}))
			}
			must.True(t, contacts.mayMove())
		})
	}
}

// Guards against a survey of one server that holds up the keys of all others: with a thousand servers some
// server is always being surveyed.
func TestSurveysHoldUpOnlyTheirServers(t *testing.T) {
	var registered []registry.Server
	for i := range 300 {
		registered = append(registered, registry.Server{Instance: registry.Instance{ID: fmt.Sprint("s", i), Incarnation: 1}})
	}
	now := time.Unix(1000, 0)
	contacts := newContact()
	lost := registered[:100]
	for _, s := range lost {
		contacts.recordFailure(now, s.Instance)
	}
	const steps, surveyTime = 100, 400 * time.Millisecond
	var running survey
	kept := 0
	for i := range steps {
		now = now.Add(50 * time.Millisecond)
		if i%4 == 0 {
			// Another server leaves an order unanswered, five times a second.
			contacts.recordFailure(now, registered[100+i].Instance)
		}
		if servers := contacts.startSurvey(now, registered); len(servers) > 0 {
			running = survey{began: now, servers: servers, own: make([]bool, len(servers)), byOthers: make([]bool, len(servers)), relays: make([]election.Member, len(servers))}
			for j, s := range servers {
				running.own[j] = !slices.ContainsFunc(lost, func(l registry.Server) bool { return l.Instance == s.Instance })
			}
		}
		if len(running.servers) > 0 && now.Sub(running.began) >= surveyTime {
			contacts.finishSurvey(now, running)
			running = survey{}
		}
		for _, s := range lost {
			if !mayLose(contacts, s) {
				kept++
				break
			}
		}
	}
	must.LessEq(t, int(2*surveyTime/(50*time.Millisecond)), kept, must.Sprint("steps in which a lost server kept its keys"))
}
