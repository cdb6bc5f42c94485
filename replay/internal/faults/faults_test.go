package faults

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/oracle"
)

// Guards against a broken bound that passes, so that the command exits with code 0.
func TestBroken(t *testing.T) {
	planned := Case{Name: "departure", Planned: true}
	good := Result{Recovery: recoveryBound, Quiet: quietBound, Switch: switchBound, Crashed: crashBound}
	must.SliceEmpty(t, good.Broken(planned))
	for name, r := range map[string]Result{
		"recovery": {Recovery: recoveryBound + time.Millisecond},
		"unserved": {Unserved: 1},
		"rule":     {Violations: map[oracle.Rule]int{oracle.DoubleRun: 1}},
		"failed":   {Failed: 1},
		"quiet":    {Quiet: quietBound + time.Millisecond},
		"switch":   {Switch: switchBound + time.Millisecond},
		"crashed":  {Crashed: crashBound + 1},
		"problem":  {Problems: []string{"exit code 1"}},
	} {
		must.Len(t, 1, r.Broken(planned), must.Sprint(name))
	}
	must.SliceEmpty(t, (&Result{Failed: 1}).Broken(Case{Name: "backend-kill"}))
}

// Guards against counting shards as moved that were not, or missing one that was.
func TestMoved(t *testing.T) {
	before := map[string]string{"a": "s1", "b": "s2", "c": "s1"}
	must.Zero(t, moved(before, before))
	must.Eq(t, 2, moved(before, map[string]string{"a": "s2", "b": "s2", "c": "s3"}))
	s := scene{before: before}
	must.Eq(t, []string{"a", "c"}, s.owned("s1"))
	must.Len(t, probed, sample(make([]string, 1000)))
}
