package server

import (
	"net/http"
	"time"

	"bramleystand.org/platformd/internal/fault"
)

// pass delays, holds or fails a call as the faults say, and tells whether it may go on.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) bool {
	state, _ := s.faults.State()
	if state.Delay > 0 {
		select {
		case <-time.After(state.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	return s.up(w, r)
}

// up holds or fails a call during an outage, and tells whether it may go on.
func (s *Server) up(w http.ResponseWriter, r *http.Request) bool {
	for {
		state, changed := s.faults.State()
		now := time.Now()
		switch state.Outage(now) {
		case fault.None:
			return true
		case fault.Refuse:
			breakOff()
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

// breakOff closes the connection without an answer.
func breakOff() {
	panic(http.ErrAbortHandler)
}
