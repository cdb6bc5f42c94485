package server

import (
	"net/http"
	"time"

	"bramleystand.org/platformd/internal/fault"
)

// applyFaults delays, holds or fails a call according to the active faults, and reports whether it
// may proceed.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.State()
	if state.Delay > 0 {
		select {
		case <-time.After(state.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	return s.applyOutage(w, r)
}

// applyOutage holds or fails a call during an outage, and reports whether it may proceed.
func (s *Server) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		state, changed := s.faults.State()
		now := time.Now()
		switch state.Outage(now) {
		case fault.None:
			return true
		case fault.Refuse:
			abortConnection()
		case fault.Fail:
			writeJSON(w, http.StatusServiceUnavailable, problemJSON{Error: "server: the platform is down"})
			return false
		case fault.Hang:
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		case <-time.After(state.OutageUntil.Sub(now)):
		}
	}
}

// abortConnection closes the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
