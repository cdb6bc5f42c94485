package server

import (
	"errors"
	"net/http"

	"bramleystand.org/backendd/internal/gate"
)

// refusal is the reason why a request was not started.
type refusal string

// The reasons besides those of the gate.
const (
	draining refusal = "draining"
	full     refusal = "full"
	late     refusal = "deadline-passed"
	tooLate  refusal = "start-before-passed"
)

// Error returns the reason.
func (r refusal) Error() string {
	return "server: refused: " + string(r)
}

// statusOf returns the HTTP status for a refusal.
func statusOf(err error) int {
	var g gate.Refusal
	var r refusal
	switch {
	case errors.As(err, &g):
		return http.StatusConflict
	case !errors.As(err, &r):
		return http.StatusBadRequest
	case r == late, r == tooLate:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// reasonOf returns the short form of a refusal.
func reasonOf(err error) string {
	var g gate.Refusal
	var r refusal
	switch {
	case errors.As(err, &g):
		return string(g)
	case errors.As(err, &r):
		return string(r)
	}
	return err.Error()
}
