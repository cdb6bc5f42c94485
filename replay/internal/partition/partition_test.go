package partition

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
)

// Guards against a broken bound that passes, so that the command exits with code 0.
func TestBroken(t *testing.T) {
	over := servedBound + time.Millisecond
	good := Result{
		Groups: []Group{
			{MustServe: true, Lookups: 2, Ran: 1},
			{MustServe: true, Steady: true, Lookups: 1, Ran: 1},
			{MustServe: true, Gap: servedBound, Healed: servedBound, Refused: 1, Unknown: 1},
			{Gap: cutTime},
		},
		Processes: []Process{{Followed: switchBound}},
	}
	must.SliceEmpty(t, good.Broken())
	for name, r := range map[string]Result{
		"gap":      {Groups: []Group{{MustServe: true, Gap: over}}},
		"failed":   {Groups: []Group{{MustServe: true, Steady: true, Lookups: 2, Ran: 1}}},
		"heal":     {Groups: []Group{{Healed: over}}},
		"missing":  {Groups: []Group{{Missing: 1}}},
		"late":     {Groups: []Group{{Late: 1}}},
		"lost":     {Groups: []Group{{Lost: 1}}},
		"wrong":    {Groups: []Group{{Wrong: 1}}},
		"rule":     {Rules: map[oracle.Rule]int{oracle.DoubleOwner: 1}},
		"never":    {Processes: []Process{{Followed: -1}}},
		"followed": {Processes: []Process{{Followed: switchBound + 1}}},
		"reverted": {Processes: []Process{{Reverted: 1}}},
		"problem":  {Problems: []string{"exit code 1"}},
	} {
		must.Len(t, 1, r.Broken(), must.Sprint(name))
	}
}

// Guards against an answer that counts as right although the key could not be served,
// and against counting one that arrived under a lease still valid or after the heal.
func TestFigures(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	result := func(sent, answered int, o outcome.Outcome) operation.Result {
		return operation.Result{
			Operation: operation.Operation{Intended: at(sent), Target: time.Second, Deadline: at(sent + 5)}, Ended: at(answered),
			Attempts: []operation.Attempt{{Key: "k", Sent: at(sent), Answered: at(answered), Told: true, Outcome: o}},
		}
	}
	g := group{keys: []string{"k"}, grace: 2 * time.Second, results: []operation.Result{
		result(1, 1, outcome.Ran), result(3, 3, outcome.Ran), result(4, 9, outcome.Unknown), result(5, 11, outcome.NotRun),
		result(9, 10, outcome.Ran), result(11, 12, outcome.Ran),
	}}
	f := g.figures(at(0), at(10))
	must.Eq(t, Group{Lookups: 4, Ran: 2, Refused: 1, Unknown: 1, Late: 1, Wrong: 1, Gap: 7 * time.Second, Healed: 2 * time.Second}, f)
	g.served = true
	f = g.figures(at(0), at(10))
	must.Zero(t, f.Wrong)
	must.Eq(t, 5, f.Lookups)
}

// Guards against a process that goes back to an earlier version between two samples unnoticed.
func TestProcesses(t *testing.T) {
	start := time.Now()
	v := newVersions([]*fleet.Entry{{Name: "e"}})
	for i, n := range []int64{3, 3, 8, 3, 8} {
		s := sample{start.Add(time.Duration(i) * time.Second), "ordinary", map[string]int64{configuration.PresetObject: n}}
		if n == 8 {
			s.preset = switched
		}
		v.samples["e"] = append(v.samples["e"], s)
	}
	list := v.processes(start, start.Add(time.Second), start.Add(1500*time.Millisecond))
	must.Eq(t, []Process{{Name: "e", Before: 3, During: 3, After: 8, Followed: 500 * time.Millisecond, Reverted: 1}}, list)
}
