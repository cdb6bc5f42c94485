package oracle

import (
	"fmt"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// lookupRuns is how often a lookup may run for one attempt: the entry VM may retry it once.
const lookupRuns = 2

// load identifies requests that a server's log does not tell apart.
type load struct{ key, rank string }

// surplusRuns counts executions that name no operation: a key must not have more
// of them than its callers' attempts allow.
func (o *Oracle) surplusRuns() (violations []Violation) {
	runs := map[load]int{}
	for _, e := range o.executions {
		if e.Ran && e.Operation == "" {
			runs[load{e.Key, e.Rank}]++
		}
	}
	allowed, operations := map[load]int{}, map[load][]string{}
	services := map[string]string{}
	tickets := map[string]bool{}
	for _, a := range o.attempts {
		l := load{a.Key, a.Rank.String()}
		operations[l] = append(operations[l], a.Operation)
		services[a.Key] = a.Service
		if a.Told && a.Outcome == outcome.NotRun {
			continue
		}
		switch {
		case a.Rank == rank.Lookup:
			allowed[l] += lookupRuns
		case a.Ticket == "" || !tickets[a.Ticket]:
			allowed[l]++
			tickets[a.Ticket] = true
		}
	}
	for l, n := range runs {
		if n <= allowed[l] {
			continue
		}
		r := FalseNotRun
		if l.rank == rank.Confirmation.String() {
			r = DoubleRun
		}
		violations = append(violations, Violation{
			Rule: r, Service: services[l.key], Key: l.key, Operations: operations[l],
			Detail: fmt.Sprintf("%d executions of rank %s, but at most %d may have run", n, l.rank, allowed[l]),
		})
	}
	return violations
}
