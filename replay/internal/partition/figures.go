package partition

import (
	"fmt"
	"time"

	"bramleystand.org/replay/internal/operation"
)

// Group holds the figures of the lookups of some keys through some entry VMs.
type Group struct {
	Name string
	// MustServe says that the keys must be served during the cut.
	MustServe bool
	// Steady says that each lookup must be served.
	Steady bool
	// Lookups is the number of lookups that began during the cut, by how they ended.
	Lookups, Ran, Refused, Unknown, Lost int
	// Late counts lookups that ended after their deadline.
	Late int
	// Wrong counts answers of keys that could not be served, and answers to other requests.
	Wrong int
	// Gap is the longest time during the cut without an answer for one of the keys.
	Gap time.Duration
	// Healed is the time from the heal until each key has been served; Missing were not.
	Healed  time.Duration
	Missing int
}

func (g *Group) count(r operation.Result) {
	g.Lookups++
	switch r.Class() {
	case operation.InTarget, operation.Late:
		g.Ran++
	case operation.Refused:
		g.Refused++
	case operation.Uncertain:
		g.Unknown++
	case operation.Lost:
		g.Lost++
	}
	if r.Ended.After(r.Operation.Deadline.Add(lateness)) {
		g.Late++
	}
}

// share is the percentage of the lookups that ran.
func (g *Group) share() float64 {
	return 100 * float64(g.Ran) / float64(max(g.Lookups, 1))
}

func (g *Group) broken() []string {
	var list []string
	add := func(broken bool, format string, args ...any) {
		if broken {
			list = append(list, g.Name+": "+fmt.Sprintf(format, args...))
		}
	}
	add(g.MustServe && g.Gap > servedBound, "not served for %s, bound %s", g.Gap.Round(time.Millisecond), servedBound)
	add(g.Steady && g.Ran < g.Lookups, "%d of %d lookups failed, bound 0", g.Lookups-g.Ran, g.Lookups)
	add(g.Healed > servedBound || g.Missing > 0, "served %s after the heal, %d never, bound %s", g.Healed.Round(time.Millisecond), g.Missing, servedBound)
	add(g.Late > 0, "%d lookups ended late, bound 0", g.Late)
	add(g.Lost > 0, "%d lookups without an answer, bound 0", g.Lost)
	add(g.Wrong > 0, "%d wrong answers, bound 0", g.Wrong)
	return list
}
