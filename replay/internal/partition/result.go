package partition

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// Limits that the system guarantees.
const (
	// servedBound is the longest time for which a key may not be served, both during a cut
	// and after its heal.
	servedBound = 3 * time.Second
	// switchBound is the longest time until a process applies an accepted preset, from the
	// moment at which it can read it from the platform.
	switchBound = 10 * time.Second
)

// Result holds the figures of one case.
type Result struct {
	Case      string
	Groups    []GroupResult
	Processes []ProcessResult
	// SilencedConnections is the number of open connections that were silenced.
	SilencedConnections int
	// Rules counts violated invariants by rule.
	Rules map[oracle.Rule]int
	// Problems lists errors that no figure shows, such as an exit code other than 0.
	Problems []string
}

// BrokenBounds describes each guaranteed limit that the result exceeds, and all problems.
func (r *Result) BrokenBounds() []string {
	var broken []string
	for _, g := range r.Groups {
		broken = append(broken, g.broken()...)
	}
	for _, rule := range oracle.Rules {
		if n := r.Rules[rule]; n > 0 {
			broken = append(broken, fmt.Sprintf("%d times %s, bound 0", n, rule))
		}
	}
	for _, p := range r.Processes {
		if p.SwitchTime < 0 || p.SwitchTime > switchBound {
			broken = append(broken, fmt.Sprintf("%s followed the preset after %s, bound %s", p.Name, p.SwitchTime, switchBound))
		}
		if p.Reverts > 0 {
			broken = append(broken, fmt.Sprintf("%s went back to an earlier version %d times", p.Name, p.Reverts))
		}
	}
	return append(broken, r.Problems...)
}
