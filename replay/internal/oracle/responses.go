package oracle

import (
	"fmt"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
)

// foreignAnswers reports responses whose content the caller found wrong, and responses that
// name the execution of another request.
func (o *Oracle) foreignAnswers() (violations []Violation) {
	for _, a := range o.attempts {
		if a.AnswerError != "" {
			violations = append(violations, attemptViolation(ForeignAnswer, a, a.AnswerError))
			continue
		}
		if a.Outcome != outcome.Ran {
			continue
		}
		if e, ok := o.byID[answeringExecution(a)]; ok && !matches(a, e) {
			violations = append(violations, attemptViolation(ForeignAnswer, a,
				fmt.Sprintf("the answer is from %s of operation %q for key %s", describeExecution(e), e.Operation, e.Key)))
		}
	}
	return violations
}

// sharedExecutions reports each execution that is named in the responses to two operations.
// Operations with the same ticket may share an execution.
func (o *Oracle) sharedExecutions() (violations []Violation) {
	first := map[executionID]operation.Attempt{}
	for _, a := range o.attempts {
		if a.Outcome != outcome.Ran || a.Server == "" {
			continue
		}
		f, ok := first[answeringExecution(a)]
		if !ok {
			first[answeringExecution(a)] = a
			continue
		}
		if f.Operation != a.Operation && (a.Ticket == "" || f.Ticket != a.Ticket) {
			v := attemptViolation(ForeignAnswer, a, fmt.Sprintf("execution %d on %s also answered %s", a.Execution, a.Server, f.Operation))
			v.Operations = append(v.Operations, f.Operation)
			violations = append(violations, v)
		}
	}
	return violations
}

// missingRuns reports responses with outcome "ran" whose execution is not in the server's
// log. Responses from a server with an incomplete log are counted as untraced instead.
func (o *Oracle) missingRuns() (violations []Violation) {
	for _, a := range o.attempts {
		if a.Outcome != outcome.Ran || a.AnswerError != "" {
			continue
		}
		if e, ok := o.byID[answeringExecution(a)]; ok && e.Ran && matches(a, e) {
			continue
		}
		if o.incompleteLogs[a.Server] {
			o.untraced++
			continue
		}
		violations = append(violations, attemptViolation(MissingRun, a,
			fmt.Sprintf("%s was answered ran by execution %d on %q, which is not in the log of that server", a.Rank, a.Execution, a.Server)))
	}
	return violations
}

// answeringExecution returns the ID of the execution that the response names.
func answeringExecution(a operation.Attempt) executionID {
	return executionID{a.Server, a.Incarnation, a.Execution}
}

// matches reports whether an execution can belong to an attempt: the keys are equal, and
// so are the operations unless the server did not log one.
func matches(a operation.Attempt, e execution.Execution) bool {
	return e.Key == a.Key && (e.Operation == a.Operation || e.Operation == "")
}

// attemptViolation returns a violation of a rule by one attempt.
func attemptViolation(r Rule, a operation.Attempt, detail string) Violation {
	return Violation{
		Rule: r, Service: a.Service, Key: a.Key, Operations: []string{a.Operation},
		Detail: fmt.Sprintf("attempt %d: %s", a.Number, detail),
	}
}
