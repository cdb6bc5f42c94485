// Package outcome defines what is known about whether a backend server ran a request.
//
// # Usage
//
//	w.Header().Set(outcome.Header, outcome.NotRun.String())
package outcome

import "fmt"

// Header is the HTTP response header that carries the outcome.
const Header = "Bramley-Outcome"

// Outcome says what is known about the execution of a request.
type Outcome uint8

// The outcomes. Unknown is the zero value, so that a missing outcome is never read as
// evidence that the request ran or did not run.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// Parse returns the outcome named by a header value; anything else is Unknown.
func Parse(value string) Outcome {
	switch value {
	case "ran":
		return Ran
	case "not-run":
		return NotRun
	}
	return Unknown
}

// String returns the header value of the outcome.
func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}
