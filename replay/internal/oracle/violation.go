package oracle

import (
	"fmt"
	"strings"
)

// Rule is the name of an invariant.
type Rule string

// The invariants that an Oracle checks.
const (
	// DoubleRun is violated if a ticket is executed twice.
	DoubleRun Rule = "double-run"
	// FalseNotRun is violated if a request runs although it was answered "not-run".
	FalseNotRun Rule = "false-not-run"
	// ForeignAnswer is violated if a response does not belong to its request.
	ForeignAnswer Rule = "foreign-answer"
	// DoubleOwner is violated if two servers serve a key under one fence or at the same time.
	DoubleOwner Rule = "double-owner"
	// MissingRun is violated if a response says "ran" but no execution is logged.
	MissingRun Rule = "missing-run"
)

// Rules lists all rules in the order of reports.
var Rules = []Rule{DoubleRun, FalseNotRun, ForeignAnswer, DoubleOwner, MissingRun}

// Violation is a violated rule and the operations involved.
type Violation struct {
	Rule       Rule
	Service    string
	Key        string
	Operations []string
	Detail     string
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s/%s: %s: operations %s", v.Rule, v.Service, v.Key, v.Detail, strings.Join(v.Operations, ", "))
}
