package operation

import (
	"time"

	"bramleystand.org/common/outcome"
)

// Result is the end of an operation.
type Result struct {
	Operation Operation
	Attempts  []Attempt
	Ended     time.Time
}

// Class says how an operation ended from its caller's point of view.
type Class uint8

// The classes.
const (
	// InTarget means the operation ran and its answer arrived within the target time.
	InTarget Class = iota
	// Late means the operation ran and its answer arrived after the target time.
	Late
	// Refused means that no attempt was run.
	Refused
	// Uncertain means that an attempt may have run.
	Uncertain
	// Lost means that no attempt was answered at all.
	Lost
)

// Classes lists all classes.
var Classes = []Class{InTarget, Late, Refused, Uncertain, Lost}

// String returns the name of the class as in reports.
func (c Class) String() string {
	return [...]string{"completed", "late", "refused", "unknown", "lost"}[c]
}

// Elapsed is the response time counted from the intended start.
func (r *Result) Elapsed() time.Duration {
	return r.Ended.Sub(r.Operation.Intended)
}

// Class classifies the result.
func (r *Result) Class() Class {
	told, uncertain := false, false
	for _, a := range r.Attempts {
		told = told || a.Told
		switch a.Outcome {
		case outcome.Ran:
			if r.Elapsed() <= r.Operation.Target {
				return InTarget
			}
			return Late
		case outcome.Unknown:
			uncertain = true
		case outcome.NotRun:
		}
	}
	switch {
	case !told:
		return Lost
	case uncertain:
		return Uncertain
	}
	return Refused
}
