package faults

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/oracle"
)

// Guards against an exceeded bound that is not reported, so that the command exits with code 0.
func TestBrokenBounds(t *testing.T) {
	planned := Case{Name: "departure", Planned: true}
	good := Result{RecoveryTime: recoveryBound, NewWorkPeriod: newWorkBound, SwitchTime: switchBound, CrashedServers: crashBound}
	must.SliceEmpty(t, good.BrokenBounds(planned))
	for name, r := range map[string]Result{
		"recovery time":       {RecoveryTime: recoveryBound + time.Millisecond},
		"unserved key":        {UnservedKeys: 1},
		"violation":           {Violations: map[oracle.Rule]int{oracle.DoubleRun: 1}},
		"failed call":         {Failed: 1},
		"new work":            {NewWorkPeriod: newWorkBound + time.Millisecond},
		"preset applied late": {SwitchTime: switchBound + time.Millisecond},
		"crashed servers":     {CrashedServers: crashBound + 1},
		"exit code":           {Problems: []string{"exit code 1"}},
	} {
		must.Len(t, 1, r.BrokenBounds(planned), must.Sprint(name))
	}
	must.SliceEmpty(t, (&Result{Failed: 1}).BrokenBounds(Case{Name: "backend-kill"}))
}

// Guards against counting shards that did not move, or missing some that did.
func TestCountMoved(t *testing.T) {
	before := map[string]string{"a": "s1", "b": "s2", "c": "s1"}
	must.Zero(t, countMoved(before, before))
	must.Eq(t, 2, countMoved(before, map[string]string{"a": "s2", "b": "s2", "c": "s3"}))
	s := caseState{ownersBefore: before}
	must.Eq(t, []string{"a", "c"}, s.ownedKeys("s1"))
	must.Len(t, maxProbedKeys, sampleKeys(make([]string, 1000)))
}
