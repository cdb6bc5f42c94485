package partition

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/operation"
)

// GroupResult holds the figures of a group of keys that were looked up through some of the
// entry VMs.
type GroupResult struct {
	Name string
	// MustServe is true if the keys must be served during the cut.
	MustServe bool
	// Uninterrupted is true if every single lookup must be served.
	Uninterrupted bool
	// Lookups is the number of lookups that began during the cut. Ran, Refused, Unknown and
	// Lost count them by outcome.
	Lookups, Ran, Refused, Unknown, Lost int
	// Late counts lookups that ended more than deadlineTolerance after their deadline.
	Late int
	// WrongResponses counts responses for keys that must not be served, and responses that do not
	// belong to their request.
	WrongResponses int
	// LongestGapDuringCut is the longest time during the cut without a response for one of the keys.
	LongestGapDuringCut time.Duration
	// RecoveryTime is the time from the heal until each key has been served; UnservedKeys is
	// the number of keys that were not served.
	RecoveryTime time.Duration
	UnservedKeys int
}

// countLookup adds a lookup that began during the cut.
func (g *GroupResult) countLookup(r operation.Result) {
	g.Lookups++
	switch r.Class() {
	case operation.Completed, operation.Late:
		g.Ran++
	case operation.Refused:
		g.Refused++
	case operation.UnknownOutcome:
		g.Unknown++
	case operation.Lost:
		g.Lost++
	}
	if r.Ended.After(r.Operation.Deadline.Add(deadlineTolerance)) {
		g.Late++
	}
}

// ranPercentage returns the percentage of the lookups that ran.
func (g *GroupResult) ranPercentage() float64 {
	return 100 * float64(g.Ran) / float64(max(g.Lookups, 1))
}

// broken describes each bound that the group exceeds.
func (g *GroupResult) broken() []string {
	var descriptions []string
	add := func(broken bool, format string, args ...any) {
		if broken {
			descriptions = append(descriptions, g.Name+": "+fmt.Sprintf(format, args...))
		}
	}
	add(g.MustServe && g.LongestGapDuringCut > servedBound, "not served for %s, bound %s", g.LongestGapDuringCut.Round(time.Millisecond), servedBound)
	add(g.Uninterrupted && g.Ran < g.Lookups, "%d of %d lookups failed, bound 0", g.Lookups-g.Ran, g.Lookups)
	add(g.RecoveryTime > servedBound || g.UnservedKeys > 0, "served %s after the heal, %d never, bound %s", g.RecoveryTime.Round(time.Millisecond), g.UnservedKeys, servedBound)
	add(g.Late > 0, "%d lookups ended late, bound 0", g.Late)
	add(g.Lost > 0, "%d lookups without an answer, bound 0", g.Lost)
	add(g.WrongResponses > 0, "%d wrong answers, bound 0", g.WrongResponses)
	return descriptions
}
