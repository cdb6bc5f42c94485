package oracle

import (
	"fmt"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
)

// foreignAnswers reports answers with a fault and answers that name the execution of another request.
func (o *Oracle) foreignAnswers() (violations []Violation) {
	for _, a := range o.attempts {
		if a.Fault != "" {
			violations = append(violations, violation(ForeignAnswer, a, a.Fault))
			continue
		}
		if a.Outcome != outcome.Ran {
			continue
		}
		if e, ok := o.byName[named(a)]; ok && !own(a, e) {
			violations = append(violations, violation(ForeignAnswer, a,
				fmt.Sprintf("the answer is from %s of operation %q for key %s", describe(e), e.Operation, e.Key)))
		}
	}
	return violations
}

// sharedAnswers reports executions that answered two operations.
func (o *Oracle) sharedAnswers() (violations []Violation) {
	first := map[name]operation.Attempt{}
	for _, a := range o.attempts {
		if a.Outcome != outcome.Ran || a.Server == "" {
			continue
		}
		f, ok := first[named(a)]
		if !ok {
			first[named(a)] = a
			continue
		}
		if f.Operation != a.Operation && (a.Ticket == "" || f.Ticket != a.Ticket) {
			v := violation(ForeignAnswer, a, fmt.Sprintf("execution %d on %s also answered %s", a.Execution, a.Server, f.Operation))
			v.Operations = append(v.Operations, f.Operation)
			violations = append(violations, v)
		}
	}
	return violations
}

// missingRuns reports answers "ran" whose execution is not in the log of the server.
func (o *Oracle) missingRuns() (violations []Violation) {
	for _, a := range o.attempts {
		if a.Outcome != outcome.Ran || a.Fault != "" {
			continue
		}
		if e, ok := o.byName[named(a)]; ok && e.Ran && own(a, e) {
			continue
		}
		if o.incomplete[a.Server] {
			o.unchecked++
			continue
		}
		violations = append(violations, violation(MissingRun, a,
			fmt.Sprintf("%s was answered ran by execution %d on %q, which is not in its log", a.Rank, a.Execution, a.Server)))
	}
	return violations
}

func named(a operation.Attempt) name {
	return name{a.Server, a.Incarnation, a.Execution}
}

// own reports whether an execution can be that of an attempt.
func own(a operation.Attempt, e execution.Execution) bool {
	return e.Key == a.Key && (e.Operation == a.Operation || e.Operation == "")
}

func violation(r Rule, a operation.Attempt, detail string) Violation {
	return Violation{
		Rule: r, Service: a.Service, Key: a.Key, Operations: []string{a.Operation},
		Detail: fmt.Sprintf("attempt %d: %s", a.Number, detail),
	}
}
