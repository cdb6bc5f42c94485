package faults

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// Result holds the figures of one case.
type Result struct {
	Case string
	// Outage says that the platform was down.
	Outage bool
	// Recovery is the time until all keys concerned were served again.
	Recovery time.Duration
	// Unserved is the number of keys concerned that were not served again.
	Unserved int
	Stall    time.Duration
	// Violations counts broken invariants by rule.
	Violations map[oracle.Rule]int
	// UntracedAnswers is the number of answers whose execution was lost with its server's log.
	UntracedAnswers int
	// Calls is the number of calls of the background load; Failed of them did not complete.
	Calls     int
	Failed    int
	Uncertain int
	// Moved is the number of shards with another owner than before; Least is the fewest possible.
	Moved int
	Least int
	// Quiet is the time until a leaving server received no new work.
	Quiet time.Duration
	// Stop is the time that a planned stop took.
	Stop time.Duration
	// Switch is the time until an entry VM that woke up followed the preset.
	Switch time.Duration
	// Crashed is the number of servers that the crashing request ended.
	Crashed int
	// Problems lists what went wrong besides the figures, such as an exit code.
	Problems []string
}

// Broken lists the stated bounds that do not hold.
func (r *Result) Broken(c Case) []string {
	var list []string
	if r.Recovery > recoveryBound || r.Unserved > 0 {
		list = append(list, fmt.Sprintf("keys served again after %s, %d never, bound %s", r.Recovery.Round(time.Millisecond), r.Unserved, recoveryBound))
	}
	for _, rule := range oracle.Rules {
		if n := r.Violations[rule]; n > 0 {
			list = append(list, fmt.Sprintf("%d times %s, bound 0", n, rule))
		}
	}
	if c.Planned && r.Failed > 0 {
		list = append(list, fmt.Sprintf("%d failed calls, bound 0", r.Failed))
	}
	if r.Quiet > quietBound {
		list = append(list, fmt.Sprintf("new work for %s, bound %s", r.Quiet.Round(time.Millisecond), quietBound))
	}
	if r.Switch > switchBound {
		list = append(list, fmt.Sprintf("preset in force after %s, bound %s", r.Switch.Round(time.Millisecond), switchBound))
	}
	if r.Crashed > crashBound {
		list = append(list, fmt.Sprintf("%d servers crashed, bound %d", r.Crashed, crashBound))
	}
	return append(list, r.Problems...)
}
