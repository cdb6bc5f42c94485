package oracle

import (
	"fmt"
	"strings"
)

// Rule names what must hold.
type Rule string

// The rules.
const (
	// DoubleRun forbids that a ticket is executed twice.
	DoubleRun Rule = "double-run"
	// FalseNotRun forbids that a request runs whose caller was told that it was not run.
	FalseNotRun Rule = "false-not-run"
	// ForeignAnswer forbids an answer that does not belong to its request.
	ForeignAnswer Rule = "foreign-answer"
	// DoubleOwner forbids that a key is served by two servers under one fence or at one time.
	DoubleOwner Rule = "double-owner"
	// MissingRun forbids an answer "ran" without an execution.
	MissingRun Rule = "missing-run"
)

// Rules lists all rules.
var Rules = []Rule{DoubleRun, FalseNotRun, ForeignAnswer, DoubleOwner, MissingRun}

// Violation is a broken rule and the operations that show it.
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
