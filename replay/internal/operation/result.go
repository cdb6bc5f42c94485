package operation

import (
	"time"

	"bramleystand.org/common/outcome"
)

// Result holds an operation, its attempts and the time at which it ended.
type Result struct {
	Operation Operation
	Attempts  []Attempt
	Ended     time.Time
}

// Class is the way an operation ended as its caller sees it.
type Class uint8

// The classes.
const (
	// InTarget means that the operation ran and its answer arrived within the target time.
	InTarget Class = iota
	// Late means that the operation ran and its answer arrived after the target time.
	Late
	// Refused means that no attempt ran.
	Refused
	// Uncertain means that an attempt may have run.
	Uncertain
	// Lost means that no attempt got an answer.
	Lost
)

// Classes lists all classes in the order of reports.
var Classes = []Class{InTarget, Late, Refused, Uncertain, Lost}

// String returns the name of the class in reports.
func (c Class) String() string {
	return [...]string{"completed", "late", "refused", "unknown", "lost"}[c]
}

// Elapsed returns the response time, counted from the intended start.
func (r *Result) Elapsed() time.Duration {
	return r.Ended.Sub(r.Operation.Intended)
}

// Class returns the class of the result.
func (r *Result) Class() Class {
	answered, uncertain := false, false
	for _, a := range r.Attempts {
		answered = answered || a.Told
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
	case !answered:
		return Lost
	case uncertain:
		return Uncertain
	}
	return Refused
}
