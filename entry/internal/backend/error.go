package backend

import (
	"errors"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
)

// The causes of failures besides those of the network and the context.
var (
	ErrSilent    = eris.New("backend: connection went silent")
	ErrLate      = eris.New("backend: too late to send")
	ErrClosed    = eris.New("backend: client closed")
	ErrTruncated = eris.New("backend: end of answer cannot be told from a broken connection")
	ErrInvalid   = eris.New("backend: request cannot be sent")
	ErrRefused   = eris.New("backend: refused by the server")
)

// Error says whether the server can have run the request that failed.
type Error struct {
	Outcome outcome.Outcome
	Err     error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string {
	return "backend: " + e.Outcome.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// OutcomeOf returns the outcome that an error carries; without one it is unknown.
func OutcomeOf(err error) outcome.Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}

func notRun(err error) error {
	return &Error{Outcome: outcome.NotRun, Err: err}
}

func unknown(err error) error {
	return &Error{Outcome: outcome.Unknown, Err: err}
}
