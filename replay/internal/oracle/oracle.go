// Package oracle compares what callers were told with what backend servers ran.
//
// # Usage
//
//	o := oracle.New(attempts, executions, incomplete)
//	for _, v := range o.Check() {
//		fmt.Println(v)
//	}
package oracle

import (
	"fmt"
	"slices"
	"strings"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
)

// Oracle holds both sides of a run. Callers must use different keys at different services.
type Oracle struct {
	attempts   []operation.Attempt
	executions []execution.Execution
	incomplete map[string]bool
	// ran holds the executions that took effect by operation.
	ran       map[string][]execution.Execution
	byName    map[name]execution.Execution
	unchecked int
}

// name identifies an execution.
type name struct {
	server      string
	incarnation int64
	number      uint64
}

// New returns an oracle. The servers in incomplete have lost executions, so that
// an execution that is missing from their logs proves nothing.
func New(attempts []operation.Attempt, executions []execution.Execution, incomplete map[string]bool) *Oracle {
	o := &Oracle{
		attempts: attempts, executions: slices.Clone(executions), incomplete: incomplete,
		ran: map[string][]execution.Execution{}, byName: map[name]execution.Execution{},
	}
	tickets := map[string]string{}
	for _, a := range attempts {
		if a.Ticket != "" {
			tickets[a.Ticket] = a.Operation
		}
	}
	for i := range o.executions {
		e := &o.executions[i]
		// A server that knows only the ticket logs it as the operation.
		if id, ok := tickets[e.Operation]; ok {
			e.Operation, e.Attempt = id, 0
		}
		o.byName[name{e.Server, e.Incarnation, e.Number}] = *e
		if e.Ran && e.Operation != "" {
			o.ran[e.Operation] = append(o.ran[e.Operation], *e)
		}
	}
	return o
}

// Check returns all violations, in a stable order.
func (o *Oracle) Check() []Violation {
	o.unchecked = 0
	violations := slices.Concat(o.doubleRuns(), o.falseNotRuns(), o.foreignAnswers(), o.sharedAnswers(),
		o.missingRuns(), o.surplusRuns(), o.doubleOwners())
	slices.SortStableFunc(violations, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return violations
}

// Unchecked returns the number of answers that Check could not trace to an
// execution because the log of their server is incomplete.
func (o *Oracle) Unchecked() int {
	return o.unchecked
}

func (o *Oracle) doubleRuns() (violations []Violation) {
	type ticket struct{ service, key, name string }
	operations := map[ticket][]string{}
	for _, a := range o.attempts {
		if a.Rank != rank.Confirmation || a.Ticket == "" {
			continue
		}
		t := ticket{a.Service, a.Key, a.Ticket}
		if !slices.Contains(operations[t], a.Operation) {
			operations[t] = append(operations[t], a.Operation)
		}
	}
	for t, ids := range operations {
		var runs []string
		for _, id := range ids {
			for _, e := range o.ran[id] {
				runs = append(runs, describe(e))
			}
		}
		if len(runs) > 1 {
			violations = append(violations, Violation{
				Rule: DoubleRun, Service: t.service, Key: t.key, Operations: ids,
				Detail: fmt.Sprintf("ticket ran %d times: %s", len(runs), strings.Join(runs, ", ")),
			})
		}
	}
	return violations
}

// falseNotRuns compares by attempt where the server logged the attempt, and
// otherwise by operation, if every attempt at it was refused.
func (o *Oracle) falseNotRuns() (violations []Violation) {
	refused := map[string]bool{}
	for _, a := range o.attempts {
		all, seen := refused[a.Operation]
		refused[a.Operation] = (all || !seen) && a.Told && a.Outcome == outcome.NotRun
	}
	for _, a := range o.attempts {
		if !a.Told || a.Outcome != outcome.NotRun {
			continue
		}
		for _, e := range o.ran[a.Operation] {
			if e.Attempt == a.Number || e.Attempt == 0 && a.Number == 1 && refused[a.Operation] {
				violations = append(violations, Violation{
					Rule: FalseNotRun, Service: a.Service, Key: a.Key, Operations: []string{a.Operation},
					Detail: fmt.Sprintf("attempt %d was answered not-run with status %d, but %s", a.Number, a.Status, describe(e)),
				})
			}
		}
	}
	return violations
}

func describe(e execution.Execution) string {
	return fmt.Sprintf("execution %d on %s", e.Number, e.Server)
}
