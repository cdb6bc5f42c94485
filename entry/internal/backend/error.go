package backend

import (
	"errors"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
)

// Causes of failures, besides errors of the network and the context.
var (
	ErrSilent   = eris.New("backend: no bytes received on the connection although the server answers probes")
	ErrTooLate  = eris.New("backend: request not sent: its start limit has passed or its deadline is less than 1 ms away")
	ErrClosed   = eris.New("backend: client is closed")
	ErrUnframed = eris.New("backend: response may be truncated: it has neither a length nor chunked coding")
	ErrInvalid  = eris.New("backend: invalid request")
	ErrRefused  = eris.New("backend: request refused by the server")
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

// OutcomeOf returns the outcome of the *Error in an error's chain, or outcome.Unknown if
// there is none.
func OutcomeOf(err error) outcome.Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}

// notRunError returns an error which says that the server can't have run the request.
func notRunError(err error) error {
	return &Error{Outcome: outcome.NotRun, Err: err}
}

// unknownError returns an error which says that the server may have run the request.
func unknownError(err error) error {
	return &Error{Outcome: outcome.Unknown, Err: err}
}
