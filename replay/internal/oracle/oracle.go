// Package oracle checks the responses that callers received against the execution logs of
// the backend servers and reports violated invariants.
//
// # Usage
//
//	o := oracle.New(attempts, executions, incompleteLogs)
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

// Oracle holds the attempts of callers and the executions of backend servers in one run.
// Executions do not name a service, so callers must use different keys for different services.
type Oracle struct {
	attempts   []operation.Attempt
	executions []execution.Execution
	// incompleteLogs holds the names of servers that have lost executions.
	incompleteLogs map[string]bool
	// ranByOperation holds the executions that took effect.
	ranByOperation map[string][]execution.Execution
	byID           map[executionID]execution.Execution
	// untraced counts responses whose execution may be missing from an incomplete log.
	untraced int
}

// executionID identifies an execution across servers and their restarts.
type executionID struct {
	server      string
	incarnation int64
	number      uint64
}

// New returns an oracle. The servers in incompleteLogs have lost executions, so an
// execution that is missing from their logs is no violation.
func New(attempts []operation.Attempt, executions []execution.Execution, incompleteLogs map[string]bool) *Oracle {
	o := &Oracle{
		attempts: attempts, executions: slices.Clone(executions), incompleteLogs: incompleteLogs,
		ranByOperation: map[string][]execution.Execution{}, byID: map[executionID]execution.Execution{},
	}
	tickets := map[string]string{}
	for _, a := range attempts {
		if a.Ticket != "" {
			tickets[a.Ticket] = a.Operation
		}
	}
	for i := range o.executions {
		e := &o.executions[i]
		// A server that received a ticket but no operation logs the ticket as the operation.
		if id, ok := tickets[e.Operation]; ok {
			e.Operation, e.Attempt = id, 0
		}
		o.byID[executionID{e.Server, e.Incarnation, e.SequenceNumber}] = *e
		if e.Ran && e.Operation != "" {
			o.ranByOperation[e.Operation] = append(o.ranByOperation[e.Operation], *e)
		}
	}
	return o
}

// Check returns all violations, sorted by their text.
func (o *Oracle) Check() []Violation {
	o.untraced = 0
	violations := slices.Concat(o.doubleRuns(), o.falseNotRuns(), o.foreignAnswers(), o.sharedExecutions(),
		o.missingRuns(), o.excessRuns(), o.doubleOwners())
	slices.SortStableFunc(violations, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return violations
}

// Untraced returns the number of responses that the last Check could not trace to an
// execution because the log of their server is incomplete.
func (o *Oracle) Untraced() int {
	return o.untraced
}

// doubleRuns reports tickets of confirmations with more than one execution, counted over
// all operations that used the ticket.
func (o *Oracle) doubleRuns() (violations []Violation) {
	type ticketKey struct{ service, key, ticket string }
	operations := map[ticketKey][]string{}
	for _, a := range o.attempts {
		if a.Rank != rank.Confirmation || a.Ticket == "" {
			continue
		}
		t := ticketKey{a.Service, a.Key, a.Ticket}
		if !slices.Contains(operations[t], a.Operation) {
			operations[t] = append(operations[t], a.Operation)
		}
	}
	for t, ids := range operations {
		var runs []string
		for _, id := range ids {
			for _, e := range o.ranByOperation[id] {
				runs = append(runs, describeExecution(e))
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

// falseNotRuns reports executions of attempts that were answered "not-run". An execution
// that does not name its attempt counts only if every attempt at the operation was
// answered so; otherwise it may belong to another attempt.
func (o *Oracle) falseNotRuns() (violations []Violation) {
	allRefused := map[string]bool{}
	for _, a := range o.attempts {
		refusedSoFar, seen := allRefused[a.Operation]
		allRefused[a.Operation] = (refusedSoFar || !seen) && a.Answered && a.Outcome == outcome.NotRun
	}
	for _, a := range o.attempts {
		if !a.Answered || a.Outcome != outcome.NotRun {
			continue
		}
		for _, e := range o.ranByOperation[a.Operation] {
			if e.Attempt == a.Number || e.Attempt == 0 && a.Number == 1 && allRefused[a.Operation] {
				violations = append(violations, Violation{
					Rule: FalseNotRun, Service: a.Service, Key: a.Key, Operations: []string{a.Operation},
					Detail: fmt.Sprintf("attempt %d was answered not-run with status %d, but %s", a.Number, a.Status, describeExecution(e)),
				})
			}
		}
	}
	return violations
}

func describeExecution(e execution.Execution) string {
	return fmt.Sprintf("execution %d on %s", e.SequenceNumber, e.Server)
}
