package oracle

import (
	"fmt"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// maxRunsPerLookup is the number of executions that one attempt at a lookup may cause:
// the entry VM may retry it once.
const maxRunsPerLookup = 2

// requestClass identifies the requests that an execution may belong to if it names no operation.
type requestClass struct{ key, rank string }

// excessRuns reports keys with more executions that name no operation than the attempts of
// the callers allow. Attempts with the same ticket together allow one execution, and an
// attempt that was answered "not-run" allows none.
func (o *Oracle) excessRuns() (violations []Violation) {
	runs := map[requestClass]int{}
	for _, e := range o.executions {
		if e.Ran && e.Operation == "" {
			runs[requestClass{e.Key, e.Rank}]++
		}
	}
	allowed, operations := map[requestClass]int{}, map[requestClass][]string{}
	services := map[string]string{}
	tickets := map[string]bool{}
	for _, a := range o.attempts {
		c := requestClass{a.Key, a.Rank.String()}
		operations[c] = append(operations[c], a.Operation)
		services[a.Key] = a.Service
		if a.Answered && a.Outcome == outcome.NotRun {
			continue
		}
		switch {
		case a.Rank == rank.Lookup:
			allowed[c] += maxRunsPerLookup
		case a.Ticket == "" || !tickets[a.Ticket]:
			allowed[c]++
			tickets[a.Ticket] = true
		}
	}
	for c, n := range runs {
		if n <= allowed[c] {
			continue
		}
		r := FalseNotRun
		if c.rank == rank.Confirmation.String() {
			r = DoubleRun
		}
		violations = append(violations, Violation{
			Rule: r, Service: services[c.key], Key: c.key, Operations: operations[c],
			Detail: fmt.Sprintf("%d executions of rank %s, but at most %d may have run", n, c.rank, allowed[c]),
		})
	}
	return violations
}
