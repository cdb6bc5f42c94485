package faults

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// Result holds the figures of one case.
type Result struct {
	Case string
	// PlatformDown is true if the platform was frozen.
	PlatformDown bool
	// RecoveryTime is the time from the event until all affected keys were served again.
	RecoveryTime time.Duration
	// UnservedKeys is the number of affected keys that were not served again.
	UnservedKeys int
	// LongestGap is the longest time after the event without a response for one of the affected keys.
	LongestGap time.Duration
	// Violations counts violated invariants by rule.
	Violations map[oracle.Rule]int
	// UntracedResponses is the number of responses whose execution was lost with the log of its
	// server.
	UntracedResponses int
	// Calls is the number of calls of the background load. Failed is the number of them that
	// did not complete; UnknownOutcome is the part of those that may have run.
	Calls          int
	Failed         int
	UnknownOutcome int
	// MovedShards is the number of shards with another owner than before; MinMoved is the
	// smallest number that the event requires.
	MovedShards int
	MinMoved    int
	// NewWorkPeriod is the time for which a leaving server received new requests.
	NewWorkPeriod time.Duration
	// StopTime is the duration of a planned stop.
	StopTime time.Duration
	// SwitchTime is the time from the resumption of an entry VM until it applied the preset.
	SwitchTime time.Duration
	// CrashedServers is the number of servers that the crashing request crashed.
	CrashedServers int
	// Problems lists errors that no figure shows, such as an exit code other than 0.
	Problems []string
}

// BrokenBounds describes each guaranteed limit that the result exceeds, and all problems.
func (r *Result) BrokenBounds(c Case) []string {
	var broken []string
	if r.RecoveryTime > recoveryBound || r.UnservedKeys > 0 {
		broken = append(broken, fmt.Sprintf("keys served again after %s, %d never, bound %s", r.RecoveryTime.Round(time.Millisecond), r.UnservedKeys, recoveryBound))
	}
	for _, rule := range oracle.Rules {
		if n := r.Violations[rule]; n > 0 {
			broken = append(broken, fmt.Sprintf("%d times %s, bound 0", n, rule))
		}
	}
	if c.Planned && r.Failed > 0 {
		broken = append(broken, fmt.Sprintf("%d failed calls, bound 0", r.Failed))
	}
	if r.NewWorkPeriod > newWorkBound {
		broken = append(broken, fmt.Sprintf("new work for %s, bound %s", r.NewWorkPeriod.Round(time.Millisecond), newWorkBound))
	}
	if r.SwitchTime > switchBound {
		broken = append(broken, fmt.Sprintf("preset in force after %s, bound %s", r.SwitchTime.Round(time.Millisecond), switchBound))
	}
	if r.CrashedServers > crashBound {
		broken = append(broken, fmt.Sprintf("%d servers crashed, bound %d", r.CrashedServers, crashBound))
	}
	return append(broken, r.Problems...)
}
