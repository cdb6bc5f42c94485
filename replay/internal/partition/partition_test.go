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

// Guards against an exceeded bound that is not reported, so that the command exits with code 0.
func TestBrokenBounds(t *testing.T) {
	over := servedBound + time.Millisecond
	good := Result{
		Groups: []GroupResult{
			{MustServe: true, Lookups: 2, Ran: 1},
			{MustServe: true, Uninterrupted: true, Lookups: 1, Ran: 1},
			{MustServe: true, LongestGapDuringCut: servedBound, RecoveryTime: servedBound, Refused: 1, Unknown: 1},
			{LongestGapDuringCut: cutDuration},
		},
		Processes: []ProcessResult{{SwitchTime: switchBound}},
	}
	must.SliceEmpty(t, good.BrokenBounds())
	for name, r := range map[string]Result{
		"longest gap":          {Groups: []GroupResult{{MustServe: true, LongestGapDuringCut: over}}},
		"failed lookup":        {Groups: []GroupResult{{MustServe: true, Uninterrupted: true, Lookups: 2, Ran: 1}}},
		"recovery time":        {Groups: []GroupResult{{RecoveryTime: over}}},
		"unserved key":         {Groups: []GroupResult{{UnservedKeys: 1}}},
		"late lookup":          {Groups: []GroupResult{{Late: 1}}},
		"lost lookup":          {Groups: []GroupResult{{Lost: 1}}},
		"wrong response":       {Groups: []GroupResult{{WrongResponses: 1}}},
		"violation":            {Rules: map[oracle.Rule]int{oracle.DoubleOwner: 1}},
		"preset never applied": {Processes: []ProcessResult{{SwitchTime: -1}}},
		"preset applied late":  {Processes: []ProcessResult{{SwitchTime: switchBound + 1}}},
		"version reverted":     {Processes: []ProcessResult{{Reverts: 1}}},
		"exit code":            {Problems: []string{"exit code 1"}},
	} {
		must.Len(t, 1, r.BrokenBounds(), must.Sprint(name))
	}
}

// Guards against accepting a response for a key that must not be served, and against
// counting a response as wrong that was sent under a lease still valid or after the heal.
func TestEvaluateGroup(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	result := func(sent, answered int, o outcome.Outcome) operation.Result {
		return operation.Result{
			Operation: operation.Operation{DueAt: at(sent), Target: time.Second, Deadline: at(sent + 5)}, Ended: at(answered),
			Attempts: []operation.Attempt{{Key: "k", Sent: at(sent), AnsweredAt: at(answered), Answered: true, Outcome: o}},
		}
	}
	g := lookupGroup{keys: []string{"k"}, grace: 2 * time.Second, results: []operation.Result{
		result(1, 1, outcome.Ran), result(3, 3, outcome.Ran), result(4, 9, outcome.Unknown), result(5, 11, outcome.NotRun),
		result(9, 10, outcome.Ran), result(11, 12, outcome.Ran),
	}}
	f := g.evaluate(at(0), at(10))
	must.Eq(t, GroupResult{Lookups: 4, Ran: 2, Refused: 1, Unknown: 1, Late: 1, WrongResponses: 1, LongestGapDuringCut: 7 * time.Second, RecoveryTime: 2 * time.Second}, f)
	g.mustServe = true
	f = g.evaluate(at(0), at(10))
	must.Zero(t, f.WrongResponses)
	must.Eq(t, 5, f.Lookups)
}

// Guards against missing that a process goes back to an earlier version between two samples.
func TestProcessResults(t *testing.T) {
	start := time.Now()
	v := newVersionSampler([]*fleet.Entry{{Name: "e"}})
	for i, n := range []int64{3, 3, 8, 3, 8} {
		s := sample{start.Add(time.Duration(i) * time.Second), "ordinary", map[string]int64{configuration.PresetsObject: n}}
		if n == 8 {
			s.preset = switchedPreset
		}
		v.samples["e"] = append(v.samples["e"], s)
	}
	results := v.processResults(start, start.Add(time.Second), start.Add(1500*time.Millisecond))
	must.Eq(t, []ProcessResult{{Name: "e", Before: 3, During: 3, After: 8, SwitchTime: 500 * time.Millisecond, Reverts: 1}}, results)
}
