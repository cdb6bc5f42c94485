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
	// Completed means that the operation ran and its response arrived within the target time.
	Completed Class = iota
	// Late means that the operation ran and its response arrived after the target time.
	Late
	// Refused means that no attempt ran.
	Refused
	// UnknownOutcome means that an attempt may have run.
	UnknownOutcome
	// Lost means that no attempt got a response.
	Lost
)

// Classes lists all classes in the order of reports.
var Classes = []Class{Completed, Late, Refused, UnknownOutcome, Lost}

// String returns the name of the class in reports.
func (c Class) String() string {
	return [...]string{"completed", "late", "refused", "unknown", "lost"}[c]
}

// Elapsed returns the response time, counted from the time at which the first attempt was due.
func (r *Result) Elapsed() time.Duration {
	return r.Ended.Sub(r.Operation.DueAt)
}

// Class returns the class of the result.
func (r *Result) Class() Class {
	answered, unknown := false, false
	for _, a := range r.Attempts {
		answered = answered || a.Answered
		switch a.Outcome {
		case outcome.Ran:
			if r.Elapsed() <= r.Operation.Target {
				return Completed
			}
			return Late
		case outcome.Unknown:
			unknown = true
		case outcome.NotRun:
		}
	}
	switch {
	case !answered:
		return Lost
	case unknown:
		return UnknownOutcome
	}
	return Refused
}
