package partition

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// Bounds that the system states.
const (
	// servedBound is the longest time in which a key is not served, during a cut and after its heal.
	servedBound = 3 * time.Second
	// switchBound is the longest time until an accepted preset is in force once a process can learn of it.
	switchBound = 10 * time.Second
)

// Result holds the figures of one case.
type Result struct {
	Case      string
	Groups    []Group
	Processes []Process
	// Silenced is the number of open connections that went silent.
	Silenced int
	// Rules counts broken invariants.
	Rules    map[oracle.Rule]int
	Problems []string
}

// Broken lists the stated bounds that do not hold.
func (r *Result) Broken() []string {
	var list []string
	for _, g := range r.Groups {
		list = append(list, g.broken()...)
	}
	for _, rule := range oracle.Rules {
		if n := r.Rules[rule]; n > 0 {
			list = append(list, fmt.Sprintf("%d times %s, bound 0", n, rule))
		}
	}
	for _, p := range r.Processes {
		if p.Followed < 0 || p.Followed > switchBound {
			list = append(list, fmt.Sprintf("%s followed the preset after %s, bound %s", p.Name, p.Followed, switchBound))
		}
		if p.Reverted > 0 {
			list = append(list, fmt.Sprintf("%s went back to an earlier version %d times", p.Name, p.Reverted))
		}
	}
	return append(list, r.Problems...)
}
