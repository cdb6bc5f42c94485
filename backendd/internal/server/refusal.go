package server

import (
	"errors"
	"net/http"

	"bramleystand.org/backendd/internal/gate"
)

// refusal is the reason why a request was not started.
type refusal string

// The reasons of the server itself. Package gate defines those that concern the grant.
const (
	errDraining          refusal = "draining"
	errFull              refusal = "full"
	errDeadlinePassed    refusal = "deadline-passed"
	errStartBeforePassed refusal = "start-before-passed"
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
	case r == errDeadlinePassed, r == errStartBeforePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// reasonOf returns the reason of a refusal, or the text of any other error.
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
